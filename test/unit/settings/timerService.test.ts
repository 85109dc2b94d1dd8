import { expect } from 'chai'
import * as settings from '@egretvalve/settings'

const PERIOD_MS = 50
const PERIODS = 12

describe('TimerService.every', () => {
  it('calls back about once per period and shares wake-ups between periods', async () => {
    const timers = new settings.TimerService()
    const turns: number[][] = [[], []]
    let turn = 0
    const count = (list: number[]) => (): void => {
      // All callbacks of one wake-up run before the promise callback that increments the turn.
      list.push(turn)
      Promise.resolve().then(() => { turn++ })
    }
    const handles = [timers.every(PERIOD_MS, count(turns[0]!)), timers.every(2 * PERIOD_MS, count(turns[1]!))]
    await timers.sleep(PERIODS * PERIOD_MS)
    for (const handle of handles) handle.cancel()
    expect(turns[0]!.length).to.be.within(2, PERIODS * 4 / 3)
    expect(turns[1]!.length).to.be.within(1, PERIODS / 2 * 4 / 3)
    const shared = turns[1]!.filter(each => turns[0]!.includes(each))
    expect(shared.length).to.be.at.least(turns[1]!.length - 1)
  })

  it('stops when cancelled, also by another callback', async () => {
    const timers = new settings.TimerService()
    const calls: string[] = []
    const other = timers.every(PERIOD_MS, () => { calls.push('other') })
    const first = timers.every(PERIOD_MS - 1, () => {
      calls.push('first')
      other.cancel()
      first.cancel()
    })
    await timers.sleep(4 * PERIOD_MS)
    expect(calls.filter(call => call === 'first')).to.deep.equal(['first'])
    expect(calls.filter(call => call === 'other').length).to.be.at.most(1)
  })
})

describe('TimerService', () => {
  it('waits for delays that exceed 32 bits instead of calling back at once', async () => {
    const timers = new settings.TimerService()
    let calls = 0
    const abort = new AbortController()
    const handles = [2 ** 31, 1e300, Number.POSITIVE_INFINITY].flatMap(delayMs => [timers.after(delayMs, () => { calls++ }), timers.every(delayMs, () => { calls++ })])
    const slept = timers.sleep(2 ** 31, abort.signal).then(() => { calls++ })
    await timers.sleep(PERIOD_MS)
    expect(calls).to.equal(0)
    for (const handle of handles) handle.cancel()
    abort.abort()
    await slept
  })
})
