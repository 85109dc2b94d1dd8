import * as chai from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import * as agent from '@egretvalve/agent'
import * as entry from '@egretvalve/entry'
import * as settings from '@egretvalve/settings'
import { runToEnd } from '../../fixtures/process.ts'

chai.use(jestSnapshotPlugin())
const { expect } = chai

const USAGE_ERROR = 2
/** Matches a line of the overview, such as `  entry             Runs an entry`. */
const COMMAND_LINE = /^ {2}([a-z-]+(?: [a-z-]+)?) {2,}/gm

/** Matches the name line of a setting, such as `  --lease-ms  (EGRETVALVE_LEASE_MS)`. */
const SETTING_LINE = /^ {2}--([a-z-]+) {2}\(EGRETVALVE_/gm

const definitions: ReadonlyArray<[string, Record<string, settings.SettingDefinition<unknown>>]> = [
  ['entry', entry.entryDefinition],
  ['agent', agent.agentDefinition]
]

/** Arguments with an invalid setting, and texts that the error must contain. */
interface WrongSetting {
  args: string[]
  environment?: Record<string, string>
  says: string[]
}

const wrong: readonly WrongSetting[] = [
  { args: ['entry', '--stop-limit-ms', 'soon'], says: ['--stop-limit-ms', 'soon', 'a whole number of milliseconds from 0 to 3600000'] },
  { args: ['entry', '--http-listen', 'localhost:80'], says: ['--http-listen', 'localhost:80', 'an IPv4 address and port such as 127.0.0.1:7000'] },
  { args: ['entry'], environment: { EGRETVALVE_LOG_LEVEL: 'loud' }, says: ['EGRETVALVE_LOG_LEVEL', 'loud', 'one of error, warn, info, debug'] },
  { args: ['agent', '--entries', '127.0.0.1:1,nowhere'], says: ['--entries', 'nowhere', 'IPv4 addresses and ports separated by commas'] },
  { args: ['dev', '--servers', '0'], says: ['--servers', '0', 'a whole number of backend servers from 1 to'] },
  { args: ['dev', '--colour', 'red'], says: ['command line', '--colour', 'one of --'] },
  { args: ['sing'], says: ['command', 'sing', 'one of '] }
]

describe('the executable', () => {
  it('prints its version', async () => {
    const end = await runToEnd(['--version'])
    expect(end).to.include({ exitCode: 0, error: '' })
    expect(end.out).to.match(/^\d+\.\d+\.\d+\n$/)
  })

  for (const { args, environment, says } of wrong) {
    it(`rejects ${[...args, ...Object.keys(environment ?? {})].join(' ')} and reports the expected value`, async () => {
      const end = await runToEnd(args, environment)
      expect(end.exitCode).to.equal(USAGE_ERROR)
      for (const words of says) expect(end.error).to.contain(words)
    })
  }

  it('prints help for every subcommand', async () => {
    const overview = await runToEnd(['--help'])
    const names = [...overview.out.matchAll(COMMAND_LINE)].map(match => match[1]!)
    expect(names).to.include.members(['entry', 'agent', 'submit', 'dev'])
    const helps = await Promise.all(names.map(async name => await runToEnd([...name.split(' '), '--help'])))
    for (const [index, help] of helps.entries()) {
      expect(help, names[index]).to.include({ exitCode: 0, error: '' })
      expect(help.out).to.match(/^usage: egretvalve/)
    }
  })

  it('has the help of submit', async () => {
    expect((await runToEnd(['submit', '--help'])).out).toMatchSnapshot()
  })

  for (const [name, definition] of definitions) {
    it(`lists each setting of ${name} with its environment variable and expected values`, async () => {
      const { out } = await runToEnd([name, '--help'])
      for (const [key, setting] of Object.entries(definition)) {
        expect(out).to.contain(`  --${settings.flagName(key)}  (${settings.environmentName(key)})\n      ${setting.help} Expects ${setting.expects}; `)
      }
      const listed = [...out.matchAll(SETTING_LINE)].map(match => match[1]!)
      expect(listed).to.deep.equal(Object.keys(definition).map(settings.flagName))
    })
  }
})
