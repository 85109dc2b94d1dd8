/** Reloadable TLS key material of a process. */
import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import type * as grpc from '@grpc/grpc-js'
import type { LinkTls } from './links.ts'

/** Paths of the PEM files. */
export interface TlsFiles {
  keyFile: string
  certFile: string
  caFile: string
}

type CertificateProvider = Parameters<typeof grpc.experimental.createCertificateProviderServerCredentials>[0]
type CaListener = Parameters<CertificateProvider['addCaCertificateListener']>[0]
type IdentityListener = Parameters<CertificateProvider['addIdentityCertificateListener']>[0]

/** Holds the current key material and notifies servers when it changes. New connections use the current material. */
export class TlsSource implements LinkTls, CertificateProvider {
  private material: LinkTls
  private readonly caListeners = new Set<CaListener>()
  private readonly identityListeners = new Set<IdentityListener>()
  private readonly listeners = new Set<() => void>()

  /** Throws if the files cannot be read, or key and certificate do not match. */
  constructor (private readonly files: TlsFiles) {
    this.material = readMaterial(files)
  }

  get key (): Buffer {
    return this.material.key
  }

  get cert (): Buffer {
    return this.material.cert
  }

  get ca (): Buffer {
    return this.material.ca
  }

  /** Reloads the files and returns whether they changed. Throws and retains the current material if they cannot be loaded. */
  refresh (): boolean {
    const material = readMaterial(this.files)
    if (isSameMaterial(material, this.material)) return false
    this.material = material
    for (const listener of this.caListeners) listener({ caCertificate: this.ca })
    for (const listener of this.identityListeners) listener({ certificate: this.cert, privateKey: this.key })
    for (const listener of this.listeners) listener()
    return true
  }

  /** Calls the listener after each change. Returns a function that removes it. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  addCaCertificateListener (listener: CaListener): void {
    this.caListeners.add(listener)
    process.nextTick(() => { listener({ caCertificate: this.ca }) })
  }

  removeCaCertificateListener (listener: CaListener): void {
    this.caListeners.delete(listener)
  }

  addIdentityCertificateListener (listener: IdentityListener): void {
    this.identityListeners.add(listener)
    process.nextTick(() => { listener({ certificate: this.cert, privateKey: this.key }) })
  }

  removeIdentityCertificateListener (listener: IdentityListener): void {
    this.identityListeners.delete(listener)
  }
}

/** Reads the files. Throws if key and certificate do not match, such as while the files are being replaced. */
function readMaterial (files: TlsFiles): LinkTls {
  const material = { key: readFileSync(files.keyFile), cert: readFileSync(files.certFile), ca: readFileSync(files.caFile) }
  createSecureContext(material)
  return material
}

function isSameMaterial (left: LinkTls, right: LinkTls): boolean {
  return left.key.equals(right.key) && left.cert.equals(right.cert) && left.ca.equals(right.ca)
}
