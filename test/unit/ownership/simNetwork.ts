/** A simulated network that delays, reorders, doubles and loses messages, and can be cut one way or both ways. */
import type { NodeClock, SimTime } from './simTimers.ts'
import type { Random } from './simRandom.ts'

const LOST_SHARE = 0.03
const DOUBLED_SHARE = 0.05
const SLOW_SHARE = 0.08
const SLOW_MS = 4_000
const FAST_MS = 20

/** Carries messages between nodes. */
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

  /** Delivers a message to a node's clock: once, twice or never. */
  send (from: string, to: string, receiver: NodeClock, deliver: () => void): void {
    if (this.isCut(from, to) || this.random.chance(LOST_SHARE)) return
    this.deliverLater(receiver, deliver)
    if (this.random.chance(DOUBLED_SHARE)) this.deliverLater(receiver, deliver)
  }

  delayMs (): number {
    return this.random.chance(SLOW_SHARE) ? this.random.below(SLOW_MS) : this.random.below(FAST_MS)
  }

  private deliverLater (receiver: NodeClock, deliver: () => void): void {
    this.time.schedule(this.delayMs(), () => { receiver.run(deliver) })
  }
}
