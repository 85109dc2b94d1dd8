/** Guards against an entry that accepts more jobs than it can handle while requests wait unread, or that keeps refusing after an overload. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'

const STEP_MS = 10
const COST_OF_JOB_MS = 2.5
const COST_OF_REFUSAL_MS = 0.5

/** A process that handles requests in order of arrival, and the control that it is under. */
class ModelEntry {
  readonly timers = new settings.FakeTimers()
  served = 0
  refused = 0
  private unread = 0
  private credit = 0
  private arrivals = 0
  private sequence = 0
  readonly control = new scheduler.OverloadControl({ timers: this.timers, delayMs: () => this.delayMs, random: () => (this.sequence++ * 0.618) % 1 })

  /** Time that a request which arrives now waits, in milliseconds. */
  get delayMs (): number {
    return this.unread * (this.control.acceptedShare * COST_OF_JOB_MS + (1 - this.control.acceptedShare) * COST_OF_REFUSAL_MS)
  }

  /** Plays a load given as a multiple of what the process can serve. */
  play (load: number, durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.arrivals += load * STEP_MS / COST_OF_JOB_MS
      this.unread += Math.floor(this.arrivals)
      this.arrivals %= 1
      this.credit = Math.min(this.credit, 0) + STEP_MS
      while (this.credit > 0 && this.unread > 0) this.handle()
      this.timers.advance(STEP_MS)
    }
  }

  private handle (): void {
    this.unread--
    const isAccepted = this.control.accepts()
    this.credit -= isAccepted ? COST_OF_JOB_MS : COST_OF_REFUSAL_MS
    if (isAccepted) this.served++
    else this.refused++
  }
}

describe('OverloadControl', () => {
  it('accepts everything while requests hardly wait', () => {
    const entry = new ModelEntry()
    entry.play(0.8, 20_000)
    expect(entry.refused).to.equal(0)
  })

  for (const load of [1.2, 2, 3]) {
    it(`keeps requests from waiting unread at ${load} times the load that the process can serve`, () => {
      const entry = new ModelEntry()
      entry.play(load, 5_000)
      const before = entry.served
      let longestMs = 0
      for (let second = 0; second < 20; second++) {
        entry.play(load, 1_000)
        longestMs = Math.max(longestMs, entry.delayMs)
      }
      expect(longestMs, 'wait').to.be.below(500)
      const shareLeft = 1 - (load - 1) * COST_OF_REFUSAL_MS / (COST_OF_JOB_MS - COST_OF_REFUSAL_MS)
      expect((entry.served - before) / (20_000 / COST_OF_JOB_MS), 'served, of what is left beside refusals').to.be.at.least(0.9 * shareLeft)
    })
  }

  it('accepts everything again within two seconds after a burst of three times the load', () => {
    const entry = new ModelEntry()
    entry.play(3, 5_000)
    entry.play(0.5, 2_000)
    entry.refused = 0
    entry.play(0.5, 10_000)
    expect(entry.refused).to.be.at.most(50)
    expect(entry.control.acceptedShare).to.equal(1)
  })
})
