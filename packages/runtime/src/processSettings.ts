/** Settings common to all processes. */
import * as settings from '@egretvalve/settings'
import type { TlsSettings } from './tls.ts'

/** Graceful stop, TLS, log and metrics settings of a process. */
export interface ProcessSettings extends TlsSettings {
  stopLimitMs: number
  logLevel: settings.LogLevel
  statsdHost: string
  /** UDP port of the StatsD collector; 0 disables metrics. */
  statsdPort: number
}

const MAX_STOP_LIMIT_MS = 3_600_000
const MAX_PORT = 65_535

/** Definitions of the settings shared by entries and agents. */
export const processDefinition: settings.SettingsDefinition<ProcessSettings> = {
  stopLimitMs: settings.wholeNumber('Longest time for a planned stop.', 'milliseconds', 0, MAX_STOP_LIMIT_MS, '60000'),
  plainText: settings.flag('Allows connections without TLS.'),
  tlsKeyFile: settings.text('PEM file with the private key.', 'a path', ''),
  tlsCertFile: settings.text('PEM file with the certificate.', 'a path', ''),
  tlsCaFile: settings.text('PEM file with the certificate authority.', 'a path', ''),
  logLevel: settings.choice('Least severe event that is logged.', settings.LogLevel, settings.LogLevel.Info),
  statsdHost: settings.text('IP number of the StatsD collector.', 'an IPv4 address', '127.0.0.1'),
  statsdPort: settings.wholeNumber('UDP port of the StatsD collector; 0 sends nothing.', 'port', 0, MAX_PORT, '0')
}
