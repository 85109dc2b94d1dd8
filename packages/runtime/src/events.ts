/** Numbered log events of the parts that every process shares. */
import * as settings from '@egretvalve/settings'

export const events = settings.defineEvents({
  RequestsDropped: { code: 16001, level: settings.LogLevel.Warn, message: 'unfinished requests were dropped or connections closed, since the limits of the process were reached' }
})
