import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import * as path from 'node:path'
import * as chai from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import * as config from '@egretvalve/config'
import * as entry from '@egretvalve/entry'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { runConfig } from '../../../packages/cli/src/commands/config.ts'
import { runConfigure } from '../../../packages/cli/src/commands/configure.ts'
import { statusCommand } from '../../../packages/cli/src/commands/status.ts'
import { tokenCommand } from '../../../packages/cli/src/commands/token.ts'

chai.use(jestSnapshotPlugin())
const { expect } = chai

const ANY_PORT = '127.0.0.1:0'

/** Captures the output of a command, with times and addresses replaced by placeholders. */
class Capture {
  readonly lines: string[] = []
  exitCode = -1

  readonly streams = {
    out: (line: string) => { this.lines.push(line) },
    error: (line: string) => { this.lines.push(`! ${line}`) }
  }

  get text (): string {
    return this.lines.join('\n').replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME').replaceAll(/127\.0\.0\.1:\d+/g, 'ADDRESS')
  }
}

describe('configuration commands', () => {
  const timers = new settings.TimerService()
  const store = new standin.MemoryStore(timers)
  const folder = mkdtempSync(path.join(tmpdir(), 'egretvalve-'))
  const services = { timers, log: settings.createSilentLog(), metrics: settings.createSilentMetrics(), store }
  let running: entry.Entry

  before(async () => {
    const values = entry.resolveEntryDefaults({ nodeId: 'entry-1', failureDomain: 'marmara-a', httpListen: ANY_PORT, linkListen: ANY_PORT, plainText: true, openAdmin: true })
    running = entry.createEntry(values, services)
    await running.start()
  })

  after(async () => {
    await running.stop()
    store.close()
    rmSync(folder, { recursive: true })
  })

  function file (name: string): string {
    return path.join(folder, name)
  }

  async function run (...args: string[]): Promise<Capture> {
    const capture = new Capture()
    capture.exitCode = await runConfig(args, { EGRETVALVE_API: running.httpAddress }, capture.streams)
    return capture
  }

  it('configure generates the document of an answers file', async () => {
    const capture = new Capture()
    await runConfigure(['--example', 'rozet'], {}, capture.streams)
    writeFileSync(file('rozet.yaml'), capture.text)
    expect(await runConfigure(['--answers', file('rozet.yaml'), '--output', file('rozet.json')], {}, capture.streams)).to.equal(0)
    expect(JSON.parse(readFileSync(file('rozet.json'), 'utf8'))).to.deep.equal(config.createExampleDocument(config.ExampleName.Rozet))
  })

  it('configure reports problems in the language of the LANG variable', async () => {
    const capture = new Capture()
    expect(await runConfigure(['--answers', 'test/fixtures/answers/wrong.yaml'], { LANG: 'tr_TR.UTF-8' }, capture.streams)).to.equal(2)
    expect(capture.lines[0]).to.match(/^! team \(Ekibin kısa adı\): verilen "Xylotechne Ltd"/)
  })

  it('a change from answers to rollback reads as an operator needs it', async () => {
    const answers = config.readExampleAnswers(config.ExampleName.Rozet)
    writeFileSync(file('more.yaml'), config.formatAnswersYaml({ ...answers, reservedPercent: 30 }))
    const steps = [
      await run('apply', 'rozet', '--answers', file('rozet.yaml'), '--seen-version', '0'),
      await run('diff', 'rozet', '--answers', file('more.yaml')),
      await run('apply', 'rozet', '--answers', file('more.yaml'), '--seen-version', '1'),
      await run('apply', 'rozet', '--answers', file('rozet.yaml'), '--seen-version', '1'),
      await run('apply', 'rozet', '--answers', file('rozet.yaml')),
      await run('rollback', 'rozet', '--seen-version', '2', '--to-version', '1'),
      await run('rollback', 'rozet', '--seen-version', '3', '--to-version', '8'),
      await run('list'),
      await run('history', 'rozet'),
      await run('audit', 'rozet'),
      await run('status', 'rozet'),
      await run('show', 'nobody'),
      await run('display', 'rozet')
    ]
    expect(steps.map(step => `${step.exitCode}\n${step.text}`).join('\n\n')).toMatchSnapshot()
    expect((await run('show', 'rozet')).text).to.match(/^# team rozet, version 3\nformat: 1\n/)
  })

  it('a change whose connection is refused exits with 1 and prints only the connection error', async () => {
    const capture = new Capture()
    const exitCode = await runConfig(['apply', 'rozet', '--answers', file('rozet.yaml'), '--seen-version', '3', '--api', '127.0.0.1:1'], {}, capture.streams)
    expect(exitCode).to.equal(1)
    expect(capture.text, 'a refused connection can not have had an effect').to.equal('! cli.request (ADDRESS): connect ECONNREFUSED ADDRESS')
  })

  it('status lists the entry with its kind, state and failure domain', async () => {
    const capture = new Capture()
    expect(await statusCommand.run([], { EGRETVALVE_API: running.httpAddress }, capture.streams)).to.equal(0)
    expect(capture.text).to.match(/entry-1 +entry +joined +marmara-a/)
  })

  it('token prints a grant that an entry accepts', async () => {
    const capture = new Capture()
    expect(await tokenCommand.run(['--name', 'ayse', '--role', 'operator', '--team', 'rozet'], {}, capture.streams)).to.equal(0)
    const grant = capture.lines[1]!.split(': ')[1]!
    const resolved = settings.resolveSettings(entry.entryDefinition, ['--admin-tokens', grant], {})
    expect(resolved.unwrap().values.adminTokens[0]?.principal).to.deep.equal({ name: 'ayse', role: 'operator', team: 'rozet' })
    expect(await tokenCommand.run(['--name', 'ayse', '--role', 'operator'], {}, capture.streams)).to.equal(2)
  })
})
