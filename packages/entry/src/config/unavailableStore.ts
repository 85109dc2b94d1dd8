/** Store of an entry that runs without one: every call fails as unavailable. */
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

async function fail (step: string): Promise<results.Err<platform.StoreProblem>> {
  const error = new protocol.StepError(protocol.ErrorCode.Unavailable, `store.${step}`, 'none', 'this entry runs without a store; set --store-address')
  return results.Err({ failure: platform.StoreFailure.Unavailable, error })
}

/** Creates a store on which every call fails with `StoreFailure.Unavailable`. */
export function createUnavailableStore (): platform.Store {
  return {
    get: async () => await fail('get'),
    list: async () => await fail('list'),
    compareAndSwap: async () => await fail('compareAndSwap'),
    watch: async () => await fail('watch'),
    grantLease: async () => await fail('grantLease'),
    renewLease: async () => await fail('renewLease'),
    revokeLease: async () => await fail('revokeLease')
  }
}
