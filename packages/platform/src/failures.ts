/** The error code that belongs to each way in which a store call fails. */
import * as protocol from '@egretvalve/protocol'
import { StoreFailure } from './store.ts'

/** Returns the error code of a store failure. */
export function errorCodeOf (failure: StoreFailure): protocol.ErrorCode {
  switch (failure) {
    case StoreFailure.Unavailable: return protocol.ErrorCode.Unavailable
    case StoreFailure.AnswerLost: return protocol.ErrorCode.OutcomeUnknown
    case StoreFailure.RateLimited: return protocol.ErrorCode.RateLimited
    case StoreFailure.Mismatch: return protocol.ErrorCode.Conflict
    default: return protocol.assertNever(failure)
  }
}
