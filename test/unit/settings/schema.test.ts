import { expect } from 'chai'
import * as settings from '@egretvalve/settings'

interface Example {
  leaseMs: number
  listen: string
  plainText: boolean
}

const definition: settings.SettingsDefinition<Example> = {
  leaseMs: settings.wholeNumber('Length of the lease.', 'milliseconds', 1, 60_000, '6000'),
  listen: settings.address('Where to listen.', '127.0.0.1:0'),
  plainText: settings.flag('Allows connections without TLS.')
}

describe('resolveSettings', () => {
  it('prefers the flag to the environment variable and the variable to the default', () => {
    const resolved = settings.resolveSettings(definition, ['--lease-ms', '10'], { EGRETVALVE_LEASE_MS: '20', EGRETVALVE_LISTEN: '127.0.0.1:7' }).unwrap()
    expect(resolved.values).to.deep.equal({ leaseMs: 10, listen: '127.0.0.1:7', plainText: false })
    expect(resolved.sources.listen).to.equal(settings.SettingSource.Environment)
  })

  it('reports the flag, the given value and the expected values', () => {
    const outcome = settings.resolveSettings(definition, ['--lease-ms', 'soon'], {})
    expect(outcome.err).to.equal(true)
    expect((outcome.val as settings.SettingsProblem[]).map(settings.describeProblem)).to.deep.equal(
      ['--lease-ms: got soon; expected a whole number of milliseconds from 1 to 60000'])
  })

  it('reports the name of an invalid environment variable', () => {
    const outcome = settings.resolveSettings(definition, [], { EGRETVALVE_LISTEN: 'localhost' })
    expect(settings.describeProblem((outcome.val as settings.SettingsProblem[])[0]!)).to.match(/^EGRETVALVE_LISTEN: got localhost/)
  })

  it('rejects an unknown flag', () => {
    const outcome = settings.resolveSettings(definition, ['--speed', '9'], {})
    expect(outcome.err).to.equal(true)
  })
})

describe('FakeTimers', () => {
  it('fires timers in order of their due times', () => {
    const timers = new settings.FakeTimers()
    const fired: string[] = []
    timers.after(20, () => fired.push('late'))
    timers.every(8, () => fired.push('period'))
    timers.advance(20)
    expect(fired).to.deep.equal(['period', 'period', 'late'])
  })
})
