/** Decides which jobs an entry without processor time hands over, and to which entry. Answers a load that one entry can't carry while others can. */
import type * as settings from '@egretvalve/settings'
import { hasWaitedTooLong } from './admission.ts'

/** Part of an entry's cores that may be used before it takes no more jobs of others, so that its own callers don't wait. */
const USABLE_SHARE = 0.9
/** Part of what another entry has left that one entry uses, since others hand jobs over to it at the same time. */
const SHARE_OF_LEFT = 0.5
/** Processor time that a job costs the entry that takes it, in milliseconds. Measured: 1.4 ms once the code is compiled, several times that before. */
const JOB_COST_MS = 2
/** Time for which unused processor time is counted, in milliseconds: the period of the reports. */
const BUDGET_MS = 250
/** Own delay from which fewer jobs are handed over, and from which none are, in milliseconds: reading and passing on a request costs more than refusing it. */
const FALLING_DELAY_MS = 100
const MAX_OWN_DELAY_MS = 400
/** Time without a message after which an entry that owes an answer gets no further job, in milliseconds. It reports every 250 ms while it owes one. */
const MAX_SILENT_MS = 1_000

/** What an entry's processor time left is computed from. */
export interface ProcessorState {
  cores: number
  usedCores: number
  /** Share of arriving jobs that is accepted, from 0 to 1. */
  acceptedShare: number
  /** False while the entry is stopping, or can't take callers for another reason. */
  isReady: boolean
}

/** Returns the cores that an entry has left for jobs of others; 0 for one that refuses jobs itself. */
export function coresLeft ({ cores, usedCores, acceptedShare, isReady }: ProcessorState): number {
  return isReady && acceptedShare >= 1 ? Math.max(0, cores * USABLE_SHARE - usedCores) : 0
}

/** An entry to which jobs can be handed over. */
export interface HandOverPeer {
  entryId: string
  coresLeft: number
  /** Time that requests wait within that entry before they are read, in milliseconds. */
  delayMs: number
  /** Time for which it has owed an answer without sending anything, in milliseconds. */
  silentMs: number
}

/** A job that this entry would refuse since it is overloaded. */
export interface RefusedArrival {
  /** Time that requests wait within this entry, in milliseconds. */
  ownDelayMs: number
  /** Time for which this request has waited, in milliseconds. */
  waitedMs: number
  /** Time that the caller waits for its answer in all, in milliseconds. */
  deadlineMs: number
  /** True for a job that was handed over to this entry, or that this entry knows. */
  staysHere: boolean
  isStopping: boolean
}

/** Dependencies of the decision. */
export interface HandOverServices {
  timers: Pick<settings.Timers, 'nowMs'>
  /** Returns a number from 0 to 1. */
  random: () => number
}

interface Budget {
  ms: number
  atMs: number
}

/** Chooses among the other entries, in proportion to the processor time that each has left. */
export class HandOverChoice {
  private readonly budgets = new Map<string, Budget>()

  constructor (private readonly services: HandOverServices) {}

  /** Returns the id of the entry that gets the job, and counts the job's cost; undefined if the job is to be refused. */
  choose (arrival: RefusedArrival, peers: readonly HandOverPeer[]): string | undefined {
    if (arrival.staysHere || arrival.isStopping || !this.isCarried(arrival.ownDelayMs)) return undefined
    this.refill(peers)
    const candidates = peers.filter(peer => this.isCandidate(arrival, peer))
    let position = this.services.random() * candidates.reduce((sum, { entryId }) => sum + this.budgets.get(entryId)!.ms, 0)
    const chosen = candidates.find(({ entryId }) => (position -= this.budgets.get(entryId)!.ms) < 0) ?? candidates.at(-1)
    if (chosen !== undefined) this.budgets.get(chosen.entryId)!.ms -= JOB_COST_MS
    return chosen?.entryId
  }

  /** Decides whether this entry can still afford to pass a request on. */
  private isCarried (ownDelayMs: number): boolean {
    return this.services.random() < (MAX_OWN_DELAY_MS - ownDelayMs) / (MAX_OWN_DELAY_MS - FALLING_DELAY_MS)
  }

  private isCandidate ({ ownDelayMs, waitedMs, deadlineMs }: RefusedArrival, { entryId, delayMs, silentMs }: HandOverPeer): boolean {
    return silentMs < MAX_SILENT_MS && this.budgets.get(entryId)!.ms >= JOB_COST_MS && !hasWaitedTooLong(Math.max(waitedMs, ownDelayMs) + delayMs, deadlineMs)
  }

  /** Adds the processor time that the entries have had left since the last call. Entries without a link are removed. */
  private refill (peers: readonly HandOverPeer[]): void {
    const nowMs = this.services.timers.nowMs()
    const left = new Map(peers.map(peer => [peer.entryId, peer.coresLeft * SHARE_OF_LEFT]))
    for (const entryId of this.budgets.keys()) if (!left.has(entryId)) this.budgets.delete(entryId)
    for (const [entryId, cores] of left) {
      const { ms, atMs } = this.budgets.get(entryId) ?? { ms: 0, atMs: Number.NEGATIVE_INFINITY }
      this.budgets.set(entryId, { ms: cores === 0 ? 0 : Math.min(cores * BUDGET_MS, ms + cores * Math.min(nowMs - atMs, BUDGET_MS)), atMs: nowMs })
    }
  }
}
