/** What the entries know of earlier lives of this agent, whose records of starts are gone. */
import type * as protocol from '@egretvalve/protocol'

/** Collects what the entries tell. */
export class LifeHistory {
  private watchedSinceMs: number
  private hasEarlierLife = false

  constructor (private readonly startedAtWallMs: number) {
    this.watchedSinceMs = startedAtWallMs
  }

  /** Takes what an entry tells: since when it watches, and whether it has seen an earlier life. */
  note (list: protocol.wire.IEntryList): void {
    if (list.seenEarlierLife === true) this.hasEarlierLife = true
    if (list.startedAtMs) this.watchedSinceMs = Math.min(this.watchedSinceMs, list.startedAtMs)
  }

  /** Wall-clock time before which starts may be forgotten: the birth of this life, or the time since which no other was seen. */
  get completeSinceMs (): number {
    return this.hasEarlierLife ? this.startedAtWallMs : this.watchedSinceMs
  }
}
