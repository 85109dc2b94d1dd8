/** A simulated network that delays, reorders, duplicates and drops messages, and can be cut in one or both directions. */
import type { NodeClock, SimTime } from './simTimers.ts'
import type { Random } from './simRandom.ts'

const LOST_SHARE = 0.03
const DUPLICATED_SHARE = 0.05
const SLOW_SHARE = 0.08
const SLOW_MS = 4_000
const FAST_MS = 20

export class SimNetwork {
  private readonly cuts = new Set<string>()

  constructor (private readonly time: SimTime, private readonly random: Random) {}

  cut (from: string, to: string): void {
    this.cuts.add(`${from}>${to}`)
  }

  heal (): void {
    this.cuts.clear()
  }

  isCut (from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`)
  }

  /** Delivers a message to the receiving node never, once or twice. */
  send (from: string, to: string, receiver: NodeClock, deliver: () => void): void {
    if (this.isCut(from, to) || this.random.chance(LOST_SHARE)) return
    this.deliverLater(receiver, deliver)
    if (this.random.chance(DUPLICATED_SHARE)) this.deliverLater(receiver, deliver)
  }

  delayMs (): number {
    return this.random.chance(SLOW_SHARE) ? this.random.below(SLOW_MS) : this.random.below(FAST_MS)
  }

  private deliverLater (receiver: NodeClock, deliver: () => void): void {
    this.time.schedule(this.delayMs(), () => { receiver.run(deliver) })
  }
}
