import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import * as path from 'node:path'
import { expect } from 'chai'
import * as bench from '@egretvalve/bench'

interface Summary {
  submissions: number
  policies: bench.Measures[]
}

async function load (args: readonly string[]): Promise<{ exitCode: number, lines: string[] }> {
  const lines: string[] = []
  const streams = { out: (line: string) => { lines.push(line) }, error: (line: string) => { lines.push(line) } }
  return { exitCode: await bench.runLoad(args, {}, streams), lines }
}

describe('runLoad', () => {
  let folder = ''

  before(async () => { folder = await mkdtemp(path.join(tmpdir(), 'egretvalve-load-')) })

  after(async () => { await rm(folder, { recursive: true }) })

  it('runs all policies on one trace without violations and writes trace, JSON and report', async () => {
    const file = (name: string): string => path.join(folder, name)
    const policies = 'ideal,egretvalve,random,round-robin,least-outstanding'
    const run = await load(['--in-process', '--seconds', '0.5', '--policy', policies, '--json', file('run.json'), '--report', file('run.html'), '--save-trace', file('run.jsonl')])
    expect(run.exitCode).to.equal(0)
    const summary = JSON.parse(await readFile(file('run.json'), 'utf8')) as Summary
    expect(summary.policies.map(measures => measures.policy).join()).to.equal(policies)
    for (const { startedTwice, partialAnswers, falseNotRun, lostAnswers } of summary.policies) {
      expect([startedTwice, partialAnswers, falseNotRun, lostAnswers]).to.deep.equal([0, 0, 0, 0])
    }
    const trace = bench.parseTrace(await readFile(file('run.jsonl'), 'utf8')).unwrap()
    expect(trace).to.have.length(summary.submissions)
    expect(await readFile(file('run.html'), 'utf8')).to.include('<svg')
  })

  it('reports an unknown policy', async () => {
    const run = await load(['--policy', 'fastest'])
    expect(run.exitCode).to.equal(2)
    expect(run.lines[0]).to.match(/^--policy: got fastest; expected names separated by commas out of egretvalve, ideal/)
  })
})
