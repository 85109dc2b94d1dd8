/** Fencing tokens of one incarnation of the agent. */
import type * as settings from '@egretvalve/settings'
import { events } from './events.ts'

/** Amount by which a refused token is raised, in milliseconds; larger than the steps of wall clocks. */
const RAISE_INCREMENT_MS = 60_000

/**
 * Token that increases with each incarnation of the agent and each of the worker, so that the worker refuses late calls of an earlier
 * agent, and calls that were meant for its own earlier incarnation. It starts from the wall clock.
 */
export class FencingToken {
  private current: number

  constructor (timers: settings.Timers, private readonly log: settings.Log) {
    this.current = Math.floor(timers.wallClockMs())
  }

  get value (): number {
    return this.current
  }

  /** Raises the token for the next incarnation of the worker, which has seen none. */
  advance (): void {
    this.current++
  }

  /** Raises the token after a refusal, which means that the wall clock of an earlier incarnation was ahead. */
  raise (): void {
    this.current += RAISE_INCREMENT_MS
    this.log.event(events.FenceRaised, { fencingToken: this.current })
  }
}
