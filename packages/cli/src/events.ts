/** Log events of the commands that run a process. */
import * as settings from '@egretvalve/settings'

export const events = settings.defineEvents({
  tlsRefreshed: { code: 8001, level: settings.LogLevel.Info, message: 'TLS files changed; new connections use them' },
  tlsUnreadable: { code: 8002, level: settings.LogLevel.Error, message: 'TLS files cannot be loaded; the current key material stays in use' }
})
