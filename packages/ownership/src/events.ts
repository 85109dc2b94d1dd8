/** Events of ownership. */
import * as settings from '@egretvalve/settings'

export const ownershipEvents = settings.defineEvents({
  joined: { code: 4001, level: settings.LogLevel.Info, message: 'the entry joined the assignment' },
  left: { code: 4002, level: settings.LogLevel.Info, message: 'the entry left the assignment' },
  leaseLapsed: { code: 4003, level: settings.LogLevel.Warn, message: 'the lease of the entry has expired' },
  leaseGranted: { code: 4004, level: settings.LogLevel.Info, message: 'the store granted a lease' },
  storeUnreachable: { code: 4005, level: settings.LogLevel.Warn, message: 'the lease could not be renewed' },
  storeReachable: { code: 4006, level: settings.LogLevel.Info, message: 'the lease is renewed again' },
  takeover: { code: 4007, level: settings.LogLevel.Warn, message: 'the partitions of a member without a lease were taken over' },
  takeoverBlocked: { code: 4008, level: settings.LogLevel.Warn, message: 'a member without a lease may still own its partitions' },
  acquired: { code: 4009, level: settings.LogLevel.Info, message: 'partitions were acquired' },
  gatherIncomplete: { code: 4010, level: settings.LogLevel.Warn, message: 'an agent did not answer the fence' },
  lost: { code: 4011, level: settings.LogLevel.Warn, message: 'partitions went to another member' },
  handedOver: { code: 4012, level: settings.LogLevel.Info, message: 'partitions were handed over' },
  answerLost: { code: 4013, level: settings.LogLevel.Warn, message: 'the answer of a store write was lost and is settled by reading back' },
  taskFailed: { code: 4014, level: settings.LogLevel.Error, message: 'a task of the ownership failed and starts again' }
})
