/** Mapping of store failures to error codes. */
import * as protocol from '@egretvalve/protocol'
import { StoreFailure } from './store.ts'

export function errorCodeOf (failure: StoreFailure): protocol.ErrorCode {
  switch (failure) {
    case StoreFailure.Unavailable: return protocol.ErrorCode.Unavailable
    case StoreFailure.AnswerLost: return protocol.ErrorCode.OutcomeUnknown
    case StoreFailure.RateLimited: return protocol.ErrorCode.RateLimited
    case StoreFailure.Mismatch: return protocol.ErrorCode.Conflict
    default: return protocol.assertNever(failure)
  }
}
