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
const METRIC_CALL = /metrics\??\.(increment|gauge|timing)\(\s*(['`])([^'`]+)\2/g
const TABLE_ROW = /^\| `([^`]+)` \| (\w+) \|/gm

/** Returns the names and kinds of the metrics in the sources. Variable parts of a name are replaced with `<…>`. */
function readEmitted (): string[] {
  const files = readdirSync('packages', { recursive: true, encoding: 'utf8' }).filter(name => name.includes('/src/') && name.endsWith('.ts'))
  const sources = files.filter(name => !name.startsWith('settings/')).map(name => readFileSync(path.join('packages', name), 'utf8'))
  const emitted = sources.flatMap(source => [...source.matchAll(METRIC_CALL)].map(match => `${match[3]!.replaceAll(/\$\{[^}]*\}/g, '<…>')} ${KINDS[match[1]!]}`))
  return [...new Set(emitted)].sort()
}

describe('metrics page', () => {
  it('lists exactly the metrics that the sources emit', () => {
    const documented = [...readFileSync(PAGE, 'utf8').matchAll(TABLE_ROW)].map(match => `${match[1]!.replaceAll(/<[^>]*>/g, '<…>')} ${match[2]}`)
    expect(documented.sort()).to.deep.equal(readEmitted())
  })
})
