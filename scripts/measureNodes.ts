/**
 * Measures the mean processor time and wake-ups per entry and per agent of a fleet.
 * Usage: `npx tsx scripts/measureNodes.ts --entries 3,8 --agents 11 --jobs-per-s 80 --warm-up-s 10`. Requires a build of `target/`. The
 * stand-ins share this process: above some 100 jobs a second and 10 agents they limit the load, and the share served falls.
 */
import * as fs from 'node:fs'
import { parseArgs } from 'node:util'
import * as undici from 'undici'
import * as settings from '@egretvalve/settings'
import { SoakFleet, type SoakNode } from '../platform/test/soak/fleet.ts'

const TASKS_PER_JOB = 3
const WARM_UP_MS = 4_000
/** Clock ticks per second in /proc (USER_HZ). */
const TICKS_PER_S = 100

interface Usage {
  /** Processor time of the main thread in its own code and in the kernel, and of all other threads. */
  ownMs: number
  kernelMs: number
  otherThreadsMs: number
  /** Wake-ups of the main thread. */
  wakeUps: number
}

function readTimes (path: string): { ownMs: number, kernelMs: number } {
  const fields = fs.readFileSync(path, 'utf8').split(') ')[1]!.split(' ')
  return { ownMs: Number(fields[11]) * 1_000 / TICKS_PER_S, kernelMs: Number(fields[12]) * 1_000 / TICKS_PER_S }
}

/** Returns the usage of a process since its start. */
function readUsage (processId: number): Usage {
  const main = readTimes(`/proc/${processId}/task/${processId}/stat`)
  const all = readTimes(`/proc/${processId}/stat`)
  const wakeUps = /voluntary_ctxt_switches:\s+(\d+)/.exec(fs.readFileSync(`/proc/${processId}/task/${processId}/status`, 'utf8'))![1]!
  return { ...main, otherThreadsMs: all.ownMs + all.kernelMs - main.ownMs - main.kernelMs, wakeUps: Number(wakeUps) }
}

function formatUsage (name: string, nodes: readonly SoakNode[], before: ReadonlyMap<SoakNode, Usage>, seconds: number): string {
  const usages = nodes.map(node => ({ now: readUsage(node.process.processId!), earlier: before.get(node)! }))
  const mean = (field: keyof Usage): string => (usages.reduce((sum, { now, earlier }) => sum + now[field] - earlier[field], 0) / usages.length / seconds).toFixed(1)
  const startUpMs = usages.reduce((sum, { earlier }) => sum + earlier.ownMs + earlier.kernelMs + earlier.otherThreadsMs, 0) / usages.length
  return `${name}: ${startUpMs.toFixed(0)} ms before, own code ${mean('ownMs')}, kernel ${mean('kernelMs')}, other threads ${mean('otherThreadsMs')} ms/s, ${mean('wakeUps')} wake-ups/s`
}

/** Submits jobs at a fixed rate and returns the share that was answered with 200; 1 where none were submitted. */
async function generateLoad (fleet: SoakFleet, jobsPerS: number, seconds: number, timers: settings.Timers): Promise<number> {
  const agent = new undici.Agent({ connections: 20 })
  const jobs: Array<Promise<boolean>> = []
  const startedAtMs = timers.nowMs()
  for (let number = 0; timers.nowMs() - startedAtMs < seconds * 1_000; number++) {
    const dueMs = startedAtMs + number * 1_000 / Math.max(jobsPerS, 0.1)
    if (dueMs > timers.nowMs()) await timers.sleep(Math.min(dueMs - timers.nowMs(), seconds * 1_000))
    if (jobsPerS === 0) continue
    const { frontend } = fleet.entries[number % fleet.entries.length]!
    const jobId = (Math.floor(Math.random() * 2 ** 47) * 2 ** 5).toString(16).padStart(16, '0').slice(0, 16)
    const body = JSON.stringify({ spec: 'x', steps: [{ count: TASKS_PER_JOB, cpu: 3_000, memory_request_mb: 64, estimated_ms: Number(values['run-ms']) }], best_effort: true })
    jobs.push(undici.request(`http://${frontend}/spares/${jobId}`, { method: 'POST', body, dispatcher: agent, headers: { host: 'shop.example', 'content-type': 'application/json', 'x-deadline-ms': '2000' } }).then(async response => {
      await response.body.dump()
      return response.statusCode === 200
    }, () => false))
  }
  const outcomes = await Promise.all(jobs)
  await agent.destroy()
  return outcomes.length === 0 ? 1 : outcomes.filter(Boolean).length / outcomes.length
}

const { values } = parseArgs({
  options: {
    entries: { type: 'string', default: '3' },
    agents: { type: 'string', default: '11' },
    'jobs-per-s': { type: 'string', default: '0' },
    /** Run time of a task on 3 of a worker's 32 cores. */
    'run-ms': { type: 'string', default: '150' },
    seconds: { type: 'string', default: '8' },
    /** Time under load before the measurement; code that runs often is compiled in it. */
    'warm-up-s': { type: 'string', default: '0' },
    /** Second octet of the addresses; runs at the same time need different values. */
    net: { type: 'string', default: '40' },
    profile: { type: 'string' },
    flags: { type: 'string', default: '' }
  }
})
async function main (): Promise<void> {
  const timers = new settings.TimerService()
  const flags = values.flags.split(' ').filter(Boolean)
  if (values.profile !== undefined) flags.push('--cpu-prof', `--cpu-prof-dir=${values.profile}`)
  for (const entries of values.entries.split(',').map(Number)) {
    const fleet = new SoakFleet({ entries, agents: Number(values.agents), net: Number(values.net), flags }, () => Number(values['run-ms']))
    await fleet.start()
    await timers.sleep(WARM_UP_MS)
    const jobsPerS = Number(values['jobs-per-s'])
    await generateLoad(fleet, jobsPerS, Number(values['warm-up-s']), timers)
    const before = new Map([...fleet.entries, ...fleet.agents].map(node => [node, readUsage(node.process.processId!)]))
    const seconds = Number(values.seconds)
    const servedShare = await generateLoad(fleet, jobsPerS, seconds, timers)
    const lines = [formatUsage('entry', fleet.entries, before, seconds), formatUsage('agent', fleet.agents, before, seconds)]
    process.stdout.write(`${entries} entries, ${values.agents} agents, ${values['jobs-per-s']} jobs/s, share served ${servedShare.toFixed(3)}: ${lines.join('; ')}\n`)
    if (values.profile !== undefined) await Promise.all([...fleet.entries, ...fleet.agents].map(async node => { await node.process.end('SIGTERM') }))
    await fleet.stop()
  }
}

main().then(() => { process.exit(0) }, thrown => {
  process.stderr.write(`${String(thrown)}\n`)
  process.exit(1)
})
