/**
 * Sums up CPU profiles by mechanism: milliseconds of processor time per second and process.
 * Usage: `npx tsx scripts/readProfile.ts --dir DIR --role agent --last-s 20 [--top 30]`, or `--first-s 3` for the start. Requires the bundle that was profiled, built
 * with `node scripts/buildPlatform.mjs --readable`, in `target/`.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import { parseArgs } from 'node:util'

interface ProfileNode {
  id: number
  callFrame: { functionName: string, url: string, lineNumber: number }
  children?: number[]
}

interface Profile {
  nodes: ProfileNode[]
  samples: number[]
  timeDeltas: number[]
}

const PROGRAM = 'target/program.cjs'

/** Mechanisms by source file. Time in other files counts for the nearest caller that is listed. */
const MECHANISMS: ReadonlyArray<readonly [RegExp, string]> = [
  [/packages\/settings\/src\/(log|lineBu)|winston|logform|readable-stream|triple-beam/, 'logging'],
  [/undici|httpCaller|platform\/src\/(workerDriver|store)/, 'HTTP calls'],
  [/grpc-js|node:internal\/http2|generated\/|protobuf|runtime\/src\/(links|outbox)/, 'gRPC'],
  [/packages\/fleet\//, 'links: messages, heartbeats, load reports'],
  [/packages\/(scheduler|placement)\//, 'scheduling'],
  [/packages\/workers\//, 'runs on the worker'],
  [/moleculer|node:_http|node:http|runtime\/src\/(web|body)|platform\/src\/(frontend|jobs|reports|metrics)|path-to-regexp/, 'HTTP server'],
  [/packages\/config\/|platform\/src\/(configuration|reload)/, 'configuration'],
  [/packages\/settings\/src\/timers|node:internal\/timers/, 'timers']
]

/** Returns the source file of each line of the bundle; the bundler writes its path as a comment before each module. */
function readSources (): string[] {
  let source = PROGRAM
  return fs.readFileSync(PROGRAM, 'utf8').split('\n').map(line => {
    source = /^\s*\/\/ ((?:packages|platform|node_modules|scripts)\/\S+)$/.exec(line)?.[1] ?? source
    return source
  })
}

function sourceOf ({ callFrame }: ProfileNode, sources: readonly string[]): string {
  if (callFrame.url.endsWith(path.basename(PROGRAM))) return sources[callFrame.lineNumber] ?? PROGRAM
  return callFrame.url
}

function add (sums: Map<string, number>, key: string, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value)
}

/** Adds a profile's time in microseconds by mechanism, by function, and by function with what it calls. Returns the time covered. */
function addProfile (profile: Profile, span: { firstS: number, lastS: number }, sources: readonly string[], sums: Record<'mechanisms' | 'functions' | 'inclusive', Map<string, number>>): number {
  const nodes = new Map(profile.nodes.map(node => [node.id, node]))
  const parents = new Map<number, number>()
  for (const node of profile.nodes) for (const child of node.children ?? []) parents.set(child, node.id)
  const selfUs = new Map<number, number>()
  let coveredUs = 0
  const totalUs = profile.timeDeltas.reduce((sum, deltaUs) => sum + deltaUs, 0)
  let atUs = 0
  for (let index = 0; index < profile.samples.length; index++) {
    const deltaUs = profile.timeDeltas[index]!
    atUs += deltaUs
    if (atUs > span.firstS * 1e6 || atUs < totalUs - span.lastS * 1e6) continue
    coveredUs += deltaUs
    const id = profile.samples[index]!
    selfUs.set(id, (selfUs.get(id) ?? 0) + deltaUs)
  }
  for (const [id, us] of selfUs) {
    const leaf = nodes.get(id)!
    const { functionName } = leaf.callFrame
    if (functionName === '(idle)') continue
    let mechanism: string | undefined = functionName === '(garbage collector)' || functionName === '(program)' ? functionName : undefined
    const seen = new Set<string>()
    for (let at: number | undefined = id; at !== undefined; at = parents.get(at)) {
      const node = nodes.get(at)!
      const source = sourceOf(node, sources)
      mechanism ??= MECHANISMS.find(([pattern]) => pattern.test(source))?.[1]
      const name = `${node.callFrame.functionName} ${source}:${node.callFrame.lineNumber}`
      if (!seen.has(name)) add(sums.inclusive, name, us)
      seen.add(name)
    }
    add(sums.mechanisms, mechanism ?? 'other', us)
    add(sums.functions, `${functionName} ${sourceOf(leaf, sources)}:${leaf.callFrame.lineNumber}`, us)
  }
  return coveredUs
}

function printSums (title: string, sums: ReadonlyMap<string, number>, count: number): void {
  process.stdout.write(`${title}\n`)
  for (const [name, us] of [...sums].sort((left, right) => right[1] - left[1]).slice(0, count)) {
    process.stdout.write(`${(us / coveredUs * 1e3).toFixed(2).padStart(8)} ms/s ${(us / busyUs * 100).toFixed(1).padStart(5)}%  ${name}\n`)
  }
}

const { values } = parseArgs({
  options: {
    dir: { type: 'string', default: '.' },
    role: { type: 'string', default: 'agent' },
    'first-s': { type: 'string', default: 'Infinity' },
    'last-s': { type: 'string', default: 'Infinity' },
    top: { type: 'string', default: '0' }
  }
})
const sources = readSources()
const sums = { mechanisms: new Map<string, number>(), functions: new Map<string, number>(), inclusive: new Map<string, number>() }
let coveredUs = 0
let count = 0
for (const file of fs.readdirSync(values.dir).filter(name => name.endsWith('.cpuprofile'))) {
  const profile = JSON.parse(fs.readFileSync(path.join(values.dir, file), 'utf8')) as Profile
  const isEntry = profile.nodes.some(node => /platform\/src\/frontend/.test(sourceOf(node, sources)))
  if (isEntry !== (values.role === 'entry')) continue
  coveredUs += addProfile(profile, { firstS: Number(values['first-s']), lastS: Number(values['last-s']) }, sources, sums)
  count++
}
const busyUs = [...sums.mechanisms.values()].reduce((sum, value) => sum + value, 0)
process.stdout.write(`${count} profiles, busy ${(busyUs / coveredUs * 1e3).toFixed(1)} ms/s\n`)
printSums('by mechanism', sums.mechanisms, 20)
if (Number(values.top) > 0) {
  printSums('by function', sums.functions, Number(values.top))
  printSums('by function, with what it calls', sums.inclusive, Number(values.top))
}
