/** Settings that the stand-ins' commands share. */
import * as settings from '@egretvalve/settings'
import type { ProcessSettings } from './process.ts'

export type StandinProcessSettings = ProcessSettings

const MAX_STOP_LIMIT_MS = 600_000

/** Stand-ins always talk in plain text. */
export const standinProcessDefinition: settings.SettingsDefinition<StandinProcessSettings> = {
  nodeId: settings.text('Id of this process.', 'a name', 'standin'),
  stopLimitMs: settings.wholeNumber('Longest time for a planned stop.', 'milliseconds', 0, MAX_STOP_LIMIT_MS, '10000'),
  logLevel: settings.choice('Least severe event that is logged.', settings.LogLevel, settings.LogLevel.Warn),
  statsdHost: settings.text('IP number of the StatsD collector.', 'an IPv4 address', '127.0.0.1'),
  statsdPort: settings.wholeNumber('UDP port of the StatsD collector; 0 sends nothing.', 'port', 0, 65_535, '0'),
  plainText: settings.flag('Ignored; stand-ins talk in plain text.'),
  tlsKeyFile: settings.text('Ignored.', 'a path', ''),
  tlsCertFile: settings.text('Ignored.', 'a path', ''),
  tlsCaFile: settings.text('Ignored.', 'a path', '')
}
