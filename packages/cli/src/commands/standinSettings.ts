/** Settings common to the stand-in commands. */
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import type { ProcessSettings } from './process.ts'

export type StandinProcessSettings = ProcessSettings

/** Process settings with stand-in defaults. The TLS settings are accepted but ignored, since stand-ins use plain text. */
export const standinProcessDefinition: settings.SettingsDefinition<StandinProcessSettings> = {
  ...runtime.processDefinition,
  nodeId: settings.text('Id of this process.', 'a name', 'standin'),
  logLevel: settings.choice('Least severe event that is logged.', settings.LogLevel, settings.LogLevel.Warn),
  plainText: settings.flag('Ignored; stand-ins talk in plain text.'),
  tlsKeyFile: settings.text('Ignored.', 'a path', ''),
  tlsCertFile: settings.text('Ignored.', 'a path', ''),
  tlsCaFile: settings.text('Ignored.', 'a path', '')
}
