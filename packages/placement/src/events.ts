/** Log events of placement. */
import * as settings from '@egretvalve/settings'

export const placementEvents = settings.defineEvents({
  serverEjected: { code: 9001, level: settings.LogLevel.Warn, message: 'backend server ejected: its failure rate is well above that of its peers' },
  serverRestored: { code: 9002, level: settings.LogLevel.Info, message: 'backend server readmitted after successful trial tasks' }
})
