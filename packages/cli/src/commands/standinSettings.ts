/** Settings that the stand-ins' commands share. */
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import type { ProcessSettings } from './process.ts'

export type StandinProcessSettings = ProcessSettings

/** Stand-ins always talk in plain text. */
export const standinProcessDefinition: settings.SettingsDefinition<StandinProcessSettings> = {
  ...runtime.processDefinition,
  nodeId: settings.text('Id of this process.', 'a name', 'standin'),
  logLevel: settings.choice('Least severe event that is logged.', settings.LogLevel, settings.LogLevel.Warn),
  plainText: settings.flag('Ignored; stand-ins talk in plain text.'),
  tlsKeyFile: settings.text('Ignored.', 'a path', ''),
  tlsCertFile: settings.text('Ignored.', 'a path', ''),
  tlsCaFile: settings.text('Ignored.', 'a path', '')
}
