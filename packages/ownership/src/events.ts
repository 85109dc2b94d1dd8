/** Log events of ownership. */
import * as settings from '@egretvalve/settings'

export const ownershipEvents = settings.defineEvents({
  joined: { code: 4001, level: settings.LogLevel.Info, message: 'entry joined the assignment' },
  left: { code: 4002, level: settings.LogLevel.Info, message: 'entry left the assignment' },
  leaseExpired: { code: 4003, level: settings.LogLevel.Warn, message: 'store lease expired' },
  leaseGranted: { code: 4004, level: settings.LogLevel.Info, message: 'store lease granted' },
  storeUnreachable: { code: 4005, level: settings.LogLevel.Warn, message: 'store lease could not be renewed or acquired' },
  storeReachable: { code: 4006, level: settings.LogLevel.Info, message: 'store lease renewed or acquired' },
  takeover: { code: 4007, level: settings.LogLevel.Warn, message: 'partitions of a member without a store lease taken over' },
  takeoverBlocked: { code: 4008, level: settings.LogLevel.Warn, message: 'takeover blocked: a member without a store lease may still be starting tasks' },
  acquired: { code: 4009, level: settings.LogLevel.Info, message: 'partitions acquired' },
  gatherIncomplete: { code: 4010, level: settings.LogLevel.Warn, message: 'gathering the start record of an agent failed' },
  lost: { code: 4011, level: settings.LogLevel.Warn, message: 'partitions lost to another member' },
  handedOver: { code: 4012, level: settings.LogLevel.Info, message: 'partitions handed over' },
  answerLost: { code: 4013, level: settings.LogLevel.Warn, message: 'answer of a store write lost; reading back whether it took effect' },
  operationFailed: { code: 4014, level: settings.LogLevel.Error, message: 'background operation of ownership failed' }
})
