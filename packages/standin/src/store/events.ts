/** Log events of the stand-in store. */
import * as settings from '@egretvalve/settings'

export const storeEvents = settings.defineEvents({
  listening: { code: 6001, level: settings.LogLevel.Info, message: 'stand-in store listening' },
  faultsChanged: { code: 6002, level: settings.LogLevel.Info, message: 'faults of the stand-in store changed' },
  callFailed: { code: 6003, level: settings.LogLevel.Error, message: 'stand-in store call failed' }
})
