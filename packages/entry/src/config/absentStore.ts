/** Stands for the store of an entry that runs alone: every call fails without effect. */
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

async function refuse (step: string): Promise<results.Err<platform.StoreProblem>> {
  const error = new protocol.StepError(protocol.ErrorCode.Unavailable, `store.${step}`, 'none', 'this entry runs without a store; set --store-address')
  return results.Err({ failure: platform.StoreFailure.Unavailable, error })
}

/** Creates the store that is not there. */
export function createAbsentStore (): platform.Store {
  return {
    get: async () => await refuse('get'),
    list: async () => await refuse('list'),
    compareAndSwap: async () => await refuse('compareAndSwap'),
    watch: async () => await refuse('watch'),
    grantLease: async () => await refuse('grantLease'),
    renewLease: async () => await refuse('renewLease'),
    revokeLease: async () => await refuse('revokeLease')
  }
}
