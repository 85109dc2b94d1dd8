/** Planned and forced stops of a program. */
import { expect } from 'chai'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

/** A program whose stop ends only if it is hurried. */
class SlowProgram implements runtime.Program {
  isHurried = false
  private finish = (): void => {}

  async stop (): Promise<void> {
    await new Promise<void>(resolve => { this.finish = resolve })
  }

  hurry (): void {
    this.isHurried = true
    this.finish()
  }

  describeRemaining (): string {
    return this.isHurried ? 'nothing' : '3 jobs'
  }
}

describe('runUntilSignal', () => {
  const lines: string[] = []
  const options = { timers: new settings.TimerService(), print: (line: string) => { lines.push(line) } }

  beforeEach(() => { lines.length = 0 })

  it('lets a program that can hurry answer its callers after a second signal', async () => {
    const program = new SlowProgram()
    const ended = runtime.runUntilSignal(program, { ...options, stopLimitMs: 10_000 })
    process.emit('SIGTERM', 'SIGTERM')
    await options.timers.sleep(20)
    process.emit('SIGTERM', 'SIGTERM')
    expect(await ended).to.equal(1)
    expect(lines).to.deep.equal(['stopped by second signal; left behind: nothing'])
  })

  it('ends a stop at its time limit', async () => {
    const program = new SlowProgram()
    const ended = runtime.runUntilSignal(program, { ...options, stopLimitMs: 50 })
    process.emit('SIGTERM', 'SIGTERM')
    expect(await ended).to.equal(1)
    expect(lines).to.deep.equal(['stopped by limit of 50 ms; left behind: 3 jobs'])
  })
})
