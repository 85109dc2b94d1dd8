/** Copies of the stored configuration, which nodes exchange so that those that cannot reach the store receive it too. */
import type * as protocol from '@egretvalve/protocol'

/** A configuration document as stored, with its version. */
export interface ConfigDocument {
  version: number
  document: Uint8Array
}

/** Caches the configuration with the highest version seen. The version never decreases. */
export class ConfigCache {
  private current: ConfigDocument | undefined
  private readonly listeners = new Set<(copy: ConfigDocument) => void>()

  /** `isValid` returns true if the document can be decoded and contains the given version. Without this check a corrupt copy with a high version would block all later ones. */
  constructor (private readonly isValid: (copy: ConfigDocument) => boolean = () => true) {}

  /** Version of the cached copy; 0 if there is none. */
  get version (): number {
    return this.current?.version ?? 0
  }

  /** The cached copy as a message; undefined if there is none. */
  get message (): protocol.runs.IConfigCopy | undefined {
    return this.current
  }

  /** Stores a copy if it is newer and valid. Returns whether it was stored. */
  offer (copy: ConfigDocument): boolean {
    if (copy.version <= this.version || !this.isValid(copy)) return false
    this.current = copy
    for (const listener of this.listeners) listener(copy)
    return true
  }

  /** Calls the listener with every copy stored from now on. */
  subscribe (listener: (copy: ConfigDocument) => void): void {
    this.listeners.add(listener)
  }
}

/** Decodes the message of a copy. */
export function decodeCopy (message: protocol.runs.IConfigCopy): ConfigDocument {
  return { version: message.version ?? 0, document: message.document ?? new Uint8Array() }
}
