/** Numbered events of placement. */
import * as settings from '@egretvalve/settings'

export const placementEvents = settings.defineEvents({
  serverEjected: { code: 9001, level: settings.LogLevel.Warn, message: 'a backend server is left out because its failure rate stands out' },
  serverRestored: { code: 9002, level: settings.LogLevel.Info, message: 'a backend server takes work again after its trial' }
})
