/** Events of the administration API. */
import * as settings from '@egretvalve/settings'

export const events = settings.defineEvents({
  requestRefused: { code: 1101, level: settings.LogLevel.Warn, message: 'administration request refused' }
})
