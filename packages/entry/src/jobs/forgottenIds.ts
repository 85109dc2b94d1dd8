/** Fingerprints of submissions whose answers were dropped before the retention time and whose ids carry no date. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'

/** Generations into which the retention time is divided; a whole generation expires at once. */
const GENERATIONS = 8
/** Fingerprints kept at most; each takes about 40 bytes. */
export const MAX_FORGOTTEN_IDS = 500_000

const HIGH_BITS = 0x1f_ffff
const HIGH_FACTOR = 2 ** 32

interface Generation {
  startedAtMs: number
  fingerprints: Set<number>
}

/** Tells an undated id that may have run before from one that is new. */
export class ForgottenIds {
  private readonly generations: Generation[] = []
  private count = 0
  private incompleteUntilMs = 0

  constructor (
    private readonly timers: settings.Timers,
    private readonly retentionMs: number,
    private readonly maxIds = MAX_FORGOTTEN_IDS
  ) {}

  /** Notes a submission whose answer is dropped. */
  add (keyText: string): void {
    this.expire()
    const { fingerprints } = this.currentGeneration()
    const sizeBefore = fingerprints.size
    fingerprints.add(createFingerprint(keyText))
    this.count += fingerprints.size - sizeBefore
    if (this.count > this.maxIds) this.dropOldest(true)
  }

  /** True when the submission may have run before. Without any dropped answer it costs nothing. */
  mayHold (keyText: string): boolean {
    if (this.timers.nowMs() < this.incompleteUntilMs) return true
    if (this.count === 0) return false
    const fingerprint = createFingerprint(keyText)
    return this.generations.some(generation => generation.fingerprints.has(fingerprint))
  }

  private currentGeneration (): Generation {
    const nowMs = this.timers.nowMs()
    const newest = this.generations.at(-1)
    if (newest !== undefined && nowMs - newest.startedAtMs < this.retentionMs / GENERATIONS) return newest
    const generation = { startedAtMs: nowMs, fingerprints: new Set<number>() }
    this.generations.push(generation)
    return generation
  }

  /** A generation goes when its youngest fingerprint is past the retention time. */
  private expire (): void {
    const oldestMs = this.timers.nowMs() - this.retentionMs * (1 + 1 / GENERATIONS)
    while (this.generations.length > 0 && this.generations[0]!.startedAtMs <= oldestMs) this.dropOldest(false)
  }

  /** At the bound no undated id can be told from an old one until the retention time has passed. */
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
