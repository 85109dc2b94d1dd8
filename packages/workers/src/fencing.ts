/** The authority of one life of the agent over its worker. */
import type * as settings from '@egretvalve/settings'
import { events } from './events.ts'

/** Distance by which a refused token is raised; more than wall clocks step. */
const RAISE_BY = 60_000

/** A number that rises with each life of the agent, so that calls of an earlier life that arrive late are refused. */
export class FencingToken {
  private current: number

  constructor (timers: settings.Timers, private readonly log: settings.Log) {
    this.current = Math.floor(timers.wallClockMs())
  }

  get value (): number {
    return this.current
  }

  /** Raises the token after a refusal: the wall clock of an earlier life was ahead. */
  raise (): void {
    this.current += RAISE_BY
    this.log.event(events.FenceRaised, { fencingToken: this.current })
  }
}
