/** A registrar's record of the entries that hold jobs. */
import type * as settings from '@egretvalve/settings'
import { CLAIMANT_GONE_MS, CLOCK_DRIFT, RECLAIM_MS, SUCCESS_RETENTION_MS, SWEEP_PERIOD_MS } from './defaults.ts'
import { type Claimant, type ClaimAnswer, type ClaimRelease, type ClaimRequest, type ClaimRequests, ClaimVerdict } from './model.ts'

interface ClaimRecord {
  /** Compared by identity: the link on which the job was last claimed. */
  readonly claimant: Claimant
  /** Monotonic time at which the record expires, in milliseconds. */
  untilMs: number
  hasSucceeded: boolean
}

/** Grants each job to one claimant at a time. */
export class ClaimTable {
  private readonly records = new Map<string, ClaimRecord>()
  private readonly startedAtMs: number
  private readonly sweepTimer: settings.TimerHandle

  constructor (private readonly timers: settings.Timers) {
    this.startedAtMs = timers.nowMs()
    this.sweepTimer = timers.every(SWEEP_PERIOD_MS, () => { this.sweep() })
  }

  /** Number of jobs with a record. */
  get size (): number {
    return this.records.size
  }

  stop (): void {
    this.sweepTimer.cancel()
  }

  /** Applies one message of a claimant. Returns an answer to each of its claims. */
  apply (claimant: Claimant, { claims, releases }: ClaimRequests): ClaimAnswer[] {
    for (const release of releases) this.release(claimant, release)
    return claims.map(request => this.claim(claimant, request))
  }

  /** Grants or extends a claim, or names the entry that holds the job. */
  claim (claimant: Claimant, { jobId, validForMs, sequence, wasRefused }: ClaimRequest): ClaimAnswer {
    const record = this.records.get(jobId)
    if (record !== undefined && record.untilMs > this.timers.nowMs()) {
      if (record.hasSucceeded) return { jobId, sequence, verdict: ClaimVerdict.Succeeded, holderId: record.claimant.entryId }
      if (record.claimant.incarnation !== claimant.incarnation) return { jobId, sequence, verdict: ClaimVerdict.Held, holderId: record.claimant.entryId }
    } else if (wasRefused === true && this.timers.nowMs() - this.startedAtMs < RECLAIM_MS) {
      // The holder may not have claimed the job again yet since this process has started.
      return { jobId, sequence, verdict: ClaimVerdict.Held, holderId: '' }
    }
    this.records.set(jobId, { claimant, untilMs: this.timers.nowMs() + validForMs * CLOCK_DRIFT, hasSucceeded: false })
    return { jobId, sequence, verdict: ClaimVerdict.Granted, holderId: '' }
  }

  /** Ends a claim. Ignored if another claimant holds the job, or if the job was claimed again on another link. */
  release (claimant: Claimant, { jobId, hasSucceeded }: ClaimRelease): void {
    const record = this.records.get(jobId)
    if (record?.claimant !== claimant || record.hasSucceeded) return
    if (!hasSucceeded) this.records.delete(jobId)
    else this.records.set(jobId, { ...record, untilMs: this.timers.nowMs() + SUCCESS_RETENTION_MS, hasSucceeded })
  }

  /** Records that the process of a claimant has ended, or that it has claimed its jobs again on another link. What it held on this link ends within `CLAIMANT_GONE_MS`. */
  expireClaims (claimant: Claimant): void {
    const goneMs = this.timers.nowMs() + CLAIMANT_GONE_MS * CLOCK_DRIFT
    for (const record of this.records.values()) {
      if (record.claimant === claimant && !record.hasSucceeded) record.untilMs = Math.min(record.untilMs, goneMs)
    }
  }

  private sweep (): void {
    const nowMs = this.timers.nowMs()
    for (const [jobId, { untilMs }] of this.records) {
      if (untilMs <= nowMs) this.records.delete(jobId)
    }
  }
}
