/** The entries that may be registrars, and their order for each job. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { REGISTRARS_PER_JOB, YOUNG_MS } from './defaults.ts'
import type { ClaimRequests } from './model.ts'

/** State of the link to a registrar. */
export enum LinkState {
  Open = 'open',
  /** Closed a moment ago and being redialled. Claims wait for the result. */
  Reopening = 'reopening',
  /** Can't be reached, but its process may go on. */
  Absent = 'absent',
  /** Its process has ended, it has left the deployment, or it is of a version without claims. */
  Ended = 'ended'
}

/** States of a link that isn't open. */
export type ClosedState = Exclude<LinkState, LinkState.Open>

/** Open link to a registrar. */
export interface RegistrarPort {
  send: (requests: ClaimRequests) => void
  /** Closes the link, so that it is dialled again. */
  reset: () => void
}

/** An entry that may be a registrar. */
export interface Registrar {
  readonly entryId: string
  state: LinkState
  port: RegistrarPort | undefined
  /** Monotonic time at which the process no longer counts as young, in milliseconds. */
  matureAtMs: number
  /** Monotonic times at which the messages with claims that it has not answered were sent, oldest first, in milliseconds. */
  awaitedSinceMs: number[]
  /** True while it does not answer in time. */
  isSilent: boolean
}

/** Registry of registrars. */
export class Registrars {
  /** Changes whenever the registrars of jobs may. */
  version = 0
  private readonly byId = new Map<string, Registrar>()

  /** `ownId` is the claimant's own entry. */
  constructor (private readonly timers: settings.Timers, private readonly ownId = '') {}

  /** True if another entry is not known to have ended. */
  get hasOther (): boolean {
    for (const { entryId, state } of this.byId.values()) if (entryId !== this.ownId && state !== LinkState.Ended) return true
    return false
  }

  /** True if another entry can be asked now, as far as is known. */
  get hasReachableOther (): boolean {
    for (const { entryId, state, isSilent } of this.byId.values()) if (entryId !== this.ownId && state === LinkState.Open && !isSilent) return true
    return false
  }

  get all (): Iterable<Registrar> {
    return this.byId.values()
  }

  /** True while an answer of a registrar is awaited. */
  get isAwaited (): boolean {
    for (const { awaitedSinceMs } of this.byId.values()) if (awaitedSinceMs.length > 0) return true
    return false
  }

  get (entryId: string): Registrar | undefined {
    return this.byId.get(entryId)
  }

  /** Adds an entry without an open link if it is unknown. */
  add (entryId: string): Registrar {
    const known = this.byId.get(entryId)
    if (known !== undefined) return known
    const added: Registrar = { entryId, state: LinkState.Absent, port: undefined, matureAtMs: 0, awaitedSinceMs: [], isSilent: false }
    this.byId.set(entryId, added)
    return added
  }

  /** Records whether a registrar answers in time. */
  setSilent (registrar: Registrar, isSilent: boolean): void {
    registrar.isSilent = isSilent
    this.version++
  }

  /** Records an open link to a process that has run for `upMs` milliseconds. */
  open (entryId: string, port: RegistrarPort, upMs: number): void {
    this.version++
    Object.assign(this.add(entryId), { state: LinkState.Open, port, matureAtMs: this.timers.nowMs() + YOUNG_MS - upMs, awaitedSinceMs: [], isSilent: false })
  }

  /** Records that a link is closed. Nobody waits for the link to a silent registrar to reopen, as others have taken its place. */
  close (entryId: string, state: ClosedState): void {
    this.version++
    const known = this.add(entryId)
    Object.assign(known, { state: known.isSilent && state === LinkState.Reopening ? LinkState.Absent : state, port: undefined, awaitedSinceMs: [], isSilent: false })
  }

  /**
   * Returns the registrars of a job by rendezvous hashing, highest rank first, out of those that answer. If one of them is young, the
   * list also holds those that entries without a link to it choose.
   */
  choose (jobId: string): Registrar[] {
    const ranked = this.rank(jobId)
    const first = ranked.slice(0, REGISTRARS_PER_JOB)
    const nowMs = this.timers.nowMs()
    const mature = ranked.filter(({ matureAtMs }) => matureAtMs <= nowMs).slice(0, REGISTRARS_PER_JOB)
    return ranked.filter(registrar => first.includes(registrar) || mature.includes(registrar))
  }

  private rank (jobId: string): Registrar[] {
    const weighted: Array<{ registrar: Registrar, weight: number }> = []
    for (const registrar of this.byId.values()) {
      if (registrar.state === LinkState.Absent || registrar.state === LinkState.Ended || registrar.isSilent) continue
      weighted.push({ registrar, weight: protocol.hashText(`${registrar.entryId}/${jobId}`) })
    }
    return weighted.sort((left, right) => right.weight - left.weight).map(({ registrar }) => registrar)
  }
}
