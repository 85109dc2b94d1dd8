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
  /** Memory that unfinished requests and connections may hold, in bytes; 0 derives it from the memory of the machine. */
  requestMaxBytes: number
  /** Open connections of all listeners; 0 derives the number from the file descriptors of the process. */
  maxConnections: number
}

const MAX_REQUEST_BYTES = 1024 * 1024 * 1024
const MAX_CONNECTIONS = 1_000_000

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
  statsdPort: settings.wholeNumber('UDP port of the StatsD collector; 0 sends nothing.', 'port', 0, MAX_PORT, '0'),
  requestMaxBytes: settings.wholeNumber('Memory for unfinished requests; 0 takes an eighth of the machine\'s, 8 to 32 MiB.', 'bytes', 0, MAX_REQUEST_BYTES, '0'),
  maxConnections: settings.wholeNumber('Open connections; 0 takes three quarters of the file descriptors.', 'connections', 0, MAX_CONNECTIONS, '0')
}
