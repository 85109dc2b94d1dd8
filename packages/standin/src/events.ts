/** Log events of the stand-in backend server and the network proxy. */
import * as settings from '@egretvalve/settings'

const { LogLevel } = settings

export const events = settings.defineEvents({
  backendStarted: { code: 6010, level: LogLevel.Info, message: 'stand-in backend server started' },
  backendStopped: { code: 6011, level: LogLevel.Info, message: 'stand-in backend server stopped' },
  announcementFailed: { code: 6012, level: LogLevel.Warn, message: 'announcement to the agent failed' },
  faultsChanged: { code: 6013, level: LogLevel.Info, message: 'faults of the stand-in backend server changed' },
  doubleStart: { code: 6014, level: LogLevel.Error, message: 'task started more than once' },
  proxyStarted: { code: 6100, level: LogLevel.Info, message: 'network proxy started' },
  proxyFaultChanged: { code: 6101, level: LogLevel.Info, message: 'fault of the network proxy changed' },
  proxyTargetFailed: { code: 6102, level: LogLevel.Warn, message: 'connection to the target of the network proxy failed' }
})
