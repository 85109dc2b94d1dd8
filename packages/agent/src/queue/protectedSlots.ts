/** The number of slots that long tasks may not use, adapted to the recent mix of short and long work. */
import * as protocol from '@egretvalve/protocol'

/** Half-life of the weight of past work, in milliseconds. */
const MIX_HALF_LIFE_MS = 5_000
/** Largest share of the slots that is protected. */
const MAX_PROTECTED_SHARE = 0.5
/** Decayed short work below this counts as none, in milliseconds of run time. */
const MIN_SHORT_WORK_MS = 1

/** Tracks the share of short work in the run time of ended tasks. */
export class ProtectedSlots {
  private shortWorkMs = 0
  private longWorkMs = 0
  private updatedAtMs = 0

  /** Adds the run time of an ended task. */
  recordEnd (runMs: number, nowMs: number): void {
    this.decay(nowMs)
    if (runMs >= protocol.LONG_RUN_MS) this.longWorkMs += runMs
    else this.shortWorkMs += runMs
  }

  /** Returns the number of slots that long tasks may not use, at most half of them. */
  count (slots: number, nowMs: number): number {
    this.decay(nowMs)
    if (this.shortWorkMs < MIN_SHORT_WORK_MS) return 0
    const shortShare = this.shortWorkMs / (this.shortWorkMs + this.longWorkMs)
    return Math.min(Math.ceil(slots * shortShare), Math.floor(slots * MAX_PROTECTED_SHARE))
  }

  private decay (nowMs: number): void {
    const factor = 2 ** (-(nowMs - this.updatedAtMs) / MIX_HALF_LIFE_MS)
    this.shortWorkMs *= factor
    this.longWorkMs *= factor
    this.updatedAtMs = nowMs
  }
}
