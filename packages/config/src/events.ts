/** Log events of this package. */
import * as settings from '@egretvalve/settings'

export const events = settings.defineEvents({
  changeAccepted: { code: 5001, level: settings.LogLevel.Info, message: 'configuration change accepted' },
  changeRefused: { code: 5002, level: settings.LogLevel.Warn, message: 'configuration change refused' },
  changeUnknown: { code: 5003, level: settings.LogLevel.Error, message: 'configuration change has an unknown outcome' },
  versionInForce: { code: 5004, level: settings.LogLevel.Info, message: 'configuration version in force on this node' },
  documentInvalid: { code: 5005, level: settings.LogLevel.Error, message: 'configuration document is invalid' },
  watchFailed: { code: 5006, level: settings.LogLevel.Warn, message: 'watch on the configuration failed' },
  storeSynced: { code: 5007, level: settings.LogLevel.Info, message: 'configuration read from the store' },
  startedFromPeer: { code: 5008, level: settings.LogLevel.Warn, message: 'configuration loaded from linked nodes because the store is unavailable' },
  refusalNotAudited: { code: 5009, level: settings.LogLevel.Warn, message: 'refused configuration change could not be added to the audit trail' }
})
