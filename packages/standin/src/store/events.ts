/** Events of the stand-in store. */
import * as settings from '@egretvalve/settings'

export const storeEvents = settings.defineEvents({
  listening: { code: 6001, level: settings.LogLevel.Info, message: 'the stand-in store listens' },
  faultsChanged: { code: 6002, level: settings.LogLevel.Info, message: 'the faults of the stand-in store changed' },
  callFailed: { code: 6003, level: settings.LogLevel.Error, message: 'a call of the stand-in store failed' }
})
