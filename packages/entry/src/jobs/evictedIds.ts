/** Fingerprints of submissions with undated ids whose answers were evicted before the retention time. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

/** Number of generations per retention time. Fingerprints expire by whole generations. */
const GENERATION_COUNT = 8
/** Maximum number of fingerprints; each takes about 40 bytes. */
export const MAX_EVICTED_IDS = 500_000

const HIGH_BITS = 0x1f_ffff
const HIGH_FACTOR = 2 ** 32

interface Generation {
  startedAtMs: number
  fingerprints: Set<number>
}

/** Set of evicted undated ids. Lookups may give false positives, but no false negatives within the retention time. */
export class EvictedIds {
  private readonly generations: Generation[] = []
  private count = 0
  private incompleteUntilMs = 0

  constructor (
    private readonly timers: settings.Timers,
    private readonly retentionMs: number,
    private readonly maxIds = MAX_EVICTED_IDS
  ) {}

  /** Adds the key of a submission whose answer is evicted. */
  add (keyText: string): void {
    this.expire()
    const { fingerprints } = this.currentGeneration()
    const sizeBefore = fingerprints.size
    fingerprints.add(createFingerprint(keyText))
    this.count += fingerprints.size - sizeBefore
    if (this.count > this.maxIds) this.dropOldest(true)
  }

  /** Returns true if the submission may have run before. The key is hashed only if the set is not empty. */
  mayContain (keyText: string): boolean {
    if (this.timers.nowMs() < this.incompleteUntilMs) return true
    if (this.count === 0) return false
    const fingerprint = createFingerprint(keyText)
    return this.generations.some(generation => generation.fingerprints.has(fingerprint))
  }

  private currentGeneration (): Generation {
    const nowMs = this.timers.nowMs()
    const newest = this.generations.at(-1)
    if (newest !== undefined && nowMs - newest.startedAtMs < this.retentionMs / GENERATION_COUNT) return newest
    const generation = { startedAtMs: nowMs, fingerprints: new Set<number>() }
    this.generations.push(generation)
    return generation
  }

  /** Removes the generations whose newest fingerprint is older than the retention time. */
  private expire (): void {
    const oldestMs = this.timers.nowMs() - this.retentionMs * (1 + 1 / GENERATION_COUNT)
    while (this.generations.length > 0 && this.generations[0]!.startedAtMs <= oldestMs) this.dropOldest(false)
  }

  /** After an early removal the set is incomplete: for one retention time, every undated id may have run before. */
  private dropOldest (isEarly: boolean): void {
    const oldest = this.generations.shift()!
    this.count -= oldest.fingerprints.size
    if (isEarly) this.incompleteUntilMs = this.timers.nowMs() + this.retentionMs
  }
}

/** Returns a 53-bit hash. */
function createFingerprint (keyText: string): number {
  const high = protocol.hashText(`${keyText}/`) & HIGH_BITS
  return high * HIGH_FACTOR + protocol.hashText(keyText)
}
