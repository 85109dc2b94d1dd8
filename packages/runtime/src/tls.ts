/** Loads the TLS key material named by the settings. */
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { TlsSource } from './tlsSource.ts'

export interface TlsSettings {
  plainText: boolean
  tlsKeyFile: string
  tlsCertFile: string
  tlsCaFile: string
}

/** Loads the key material. Returns undefined for plain text, and an `InvalidInput` error if a file is not set or cannot be used. */
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
