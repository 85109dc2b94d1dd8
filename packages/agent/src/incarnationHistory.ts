/** What the entries have seen of earlier incarnations of this agent, whose start records are lost. */
import type * as protocol from '@egretvalve/protocol'

/** Combines the entry lists received from all entries. */
export class IncarnationHistory {
  private observedSinceMs: number
  private hasEarlierIncarnation = false

  constructor (private readonly startedAtWallMs: number) {
    this.observedSinceMs = startedAtWallMs
  }

  /** Records an entry's start time and whether it has seen an earlier incarnation of this agent. */
  recordEntryList (list: protocol.wire.IEntryList): void {
    if (list.seenEarlierLife === true) this.hasEarlierIncarnation = true
    if (list.startedAtMs) this.observedSinceMs = Math.min(this.observedSinceMs, list.startedAtMs)
  }

  /**
   * Wall-clock time in milliseconds since which the start record is complete: the start of this incarnation if any entry has seen an earlier one,
   * otherwise the earliest known start of an entry, since no other incarnation has connected from then on.
   */
  get completeSinceMs (): number {
    return this.hasEarlierIncarnation ? this.startedAtWallMs : this.observedSinceMs
  }
}
