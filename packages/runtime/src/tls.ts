/** Reads the key material that the settings name. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { TlsSource } from './tlsSource.ts'

/** Settings of a process that concern TLS. */
export interface TlsSettings {
  plainText: boolean
  tlsKeyFile: string
  tlsCertFile: string
  tlsCaFile: string
}

/** Returns the key material, or undefined when plain text was asked for. */
export function resolveTls (settings: TlsSettings): results.Result<TlsSource | undefined, protocol.StepError> {
  if (settings.plainText) return results.Ok(undefined)
  const missing = (['tlsKeyFile', 'tlsCertFile', 'tlsCaFile'] as const).find(name => settings[name] === '')
  if (missing !== undefined) return results.Err(createTlsError(missing, 'got nothing; expected a PEM file, or --plain-text to go without TLS'))
  try {
    return results.Ok(new TlsSource({ keyFile: settings.tlsKeyFile, certFile: settings.tlsCertFile, caFile: settings.tlsCaFile }))
  } catch (thrown) {
    return results.Err(createTlsError('tls files', thrown instanceof Error ? thrown.message : String(thrown)))
  }
}

function createTlsError (field: string, message: string): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.InvalidInput, 'tls.read', 'local', `${field}: ${message}`)
}
