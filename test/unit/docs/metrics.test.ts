import { readdirSync, readFileSync } from 'node:fs'
import * as path from 'node:path'
import { expect } from 'chai'

const PAGE = 'docs/operators/metrics.md'

enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Timing = 'timing'
}

const KINDS: Readonly<Record<string, MetricKind>> = { increment: MetricKind.Counter, gauge: MetricKind.Gauge, timing: MetricKind.Timing }
const CALL = /metrics\??\.(increment|gauge|timing)\(\s*(['`])([^'`]+)\2/g
const ROW = /^\| `([^`]+)` \| (\w+) \|/gm

/** Names and kinds that the sources send. A part of a name that varies stands as `<…>` on the page. */
function readSent (): string[] {
  const files = readdirSync('packages', { recursive: true, encoding: 'utf8' }).filter(name => name.includes('/src/') && name.endsWith('.ts'))
  const sources = files.filter(name => !name.startsWith('settings/')).map(name => readFileSync(path.join('packages', name), 'utf8'))
  const sent = sources.flatMap(source => [...source.matchAll(CALL)].map(match => `${match[3]!.replaceAll(/\$\{[^}]*\}/g, '<…>')} ${KINDS[match[1]!]}`))
  return [...new Set(sent)].sort()
}

describe('the metrics page', () => {
  it('lists exactly the metrics that the sources send', () => {
    const listed = [...readFileSync(PAGE, 'utf8').matchAll(ROW)].map(match => `${match[1]!.replaceAll(/<[^>]*>/g, '<…>')} ${match[2]}`)
    expect(listed.sort()).to.deep.equal(readSent())
  })
})
