import { expect } from 'chai'
import * as bench from '@egretvalve/bench'

interface Run {
  exitCode: number
  lines: string[]
}

async function replay (args: readonly string[]): Promise<Run> {
  const lines: string[] = []
  const streams = { out: (line: string) => { lines.push(line) }, error: (line: string) => { lines.push(line) } }
  return { exitCode: await bench.runReplay(args, {}, streams), lines }
}

describe('runReplay', () => {
  it('gets the expected answers from one entry without starting a task twice', async () => {
    const run = await replay(['--trace', 'test/traces/resubmissions.jsonl', '--entries', '1', '--in-process'])
    expect(run).to.deep.equal({ exitCode: 0, lines: ['11 submissions replayed, 0 outcomes differ'] })
  })

  it('reports a file that cannot be read', async () => {
    const run = await replay(['--trace', 'test/traces/missing.jsonl'])
    expect(run.exitCode).to.equal(2)
    expect(run.lines[0]).to.match(/^trace\.read \(test\/traces\/missing\.jsonl\)/)
  })
})
