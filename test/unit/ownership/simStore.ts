/** A simulated node's access to the store: calls are delayed, fail, lose their answers or take effect late. */
import * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import type { SimNetwork } from './simNetwork.ts'
import type { Random } from './simRandom.ts'
import type { NodeClock, SimTime } from './simTimers.ts'

const STORE = 'store'
const CALL_TIMEOUT_MS = 1_000
const LOST_ANSWER_SHARE = 0.02
const LATE_EFFECT_SHARE = 0.02
const LATE_EFFECT_MS = 8_000
const CALL_DELAY_MS = 5

/** Faults of the store, shared by all nodes. */
export interface SimStoreState {
  isDown: boolean
  losesAnswers: boolean
}

/** Wraps the in-memory store for one node. */
export class SimStore implements platform.Store {
  constructor (
    private readonly nodeId: string,
    private readonly backing: platform.Store,
    private readonly state: SimStoreState,
    private readonly time: SimTime,
    private readonly clock: NodeClock,
    private readonly network: SimNetwork,
    private readonly random: Random
  ) {}

  get = async (key: string): platform.StoreResult<platform.StoredValue> => await this.read(async () => await this.backing.get(key))
  list = async (prefix: string): platform.StoreResult<platform.StoreChange> => await this.read(async () => await this.backing.list(prefix))
  compareAndSwap = async (key: string, revision: number, value: string, leaseId?: string): platform.StoreResult<platform.StoredValue> =>
    await this.write(async () => await this.backing.compareAndSwap(key, revision, value, leaseId))

  grantLease = async (ttlMs: number): platform.StoreResult<platform.StoreLease> => await this.write(async () => await this.backing.grantLease(ttlMs))
  renewLease = async (leaseId: string): platform.StoreResult<platform.StoreLease> => await this.write(async () => await this.backing.renewLease(leaseId))
  revokeLease = async (leaseId: string): platform.StoreResult<void> => await this.write(async () => await this.backing.revokeLease(leaseId))

  watch = async (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): platform.StoreResult<platform.StoreChange> => {
    if (this.isUnreachable()) return await this.fail(platform.StoreFailure.Unavailable)
    const changed = await this.backing.watch(prefix, afterRevision, waitMs, signal)
    if (this.isUnreachable()) return await this.fail(platform.StoreFailure.Unavailable)
    await this.clock.sleep(this.random.below(CALL_DELAY_MS))
    return changed
  }

  private async read<T> (call: () => platform.StoreResult<T>): platform.StoreResult<T> {
    if (this.isUnreachable()) return await this.fail(platform.StoreFailure.Unavailable)
    const outcome = await call()
    await this.clock.sleep(this.random.below(CALL_DELAY_MS))
    return outcome
  }

  private async write<T> (call: () => platform.StoreResult<T>): platform.StoreResult<T> {
    if (this.isUnreachable()) return await this.fail(platform.StoreFailure.Unavailable)
    if (this.random.chance(LATE_EFFECT_SHARE)) {
      this.time.schedule(this.random.below(LATE_EFFECT_MS), () => { call().catch(() => {}) })
      return await this.fail(platform.StoreFailure.AnswerLost)
    }
    const outcome = await call()
    if (this.state.losesAnswers || this.random.chance(LOST_ANSWER_SHARE)) return await this.fail(platform.StoreFailure.AnswerLost)
    await this.clock.sleep(this.random.below(CALL_DELAY_MS))
    return outcome
  }

  private isUnreachable (): boolean {
    return this.state.isDown || this.network.isCut(this.nodeId, STORE)
  }

  private async fail<T> (failure: platform.StoreFailure): platform.StoreResult<T> {
    await this.clock.sleep(this.random.below(CALL_TIMEOUT_MS))
    return results.Err({ failure, error: new protocol.StepError(platform.errorCodeOf(failure), 'store.call', STORE, failure) })
  }
}
