/** Measures what one node of a fleet costs: `npx tsx scripts/measureNodes.ts --entries 3,8 --agents 11 --jobs-per-s 80`. Build `target/` first. */
import * as fs from 'node:fs'
import { parseArgs } from 'node:util'
import * as undici from 'undici'
import * as settings from '@egretvalve/settings'
import { SoakFleet, type SoakNode } from '../platform/test/soak/fleet.ts'

const WORK_MS = 150
const TASKS = 3
const WARM_UP_MS = 4_000
/** Clock ticks of the kernel's accounting in a second. */
const TICKS_PER_S = 100

/** Processor time in milliseconds and wake-ups of a process until now. */
function readUse (processId: number): { cpuMs: number, wakeUps: number } {
  const fields = fs.readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1]!.split(' ')
  const wakeUps = /voluntary_ctxt_switches:\s+(\d+)/.exec(fs.readFileSync(`/proc/${processId}/task/${processId}/status`, 'utf8'))![1]!
  return { cpuMs: (Number(fields[11]) + Number(fields[12])) * 1_000 / TICKS_PER_S, wakeUps: Number(wakeUps) }
}

function describe (name: string, nodes: readonly SoakNode[], before: Map<SoakNode, { cpuMs: number, wakeUps: number }>, seconds: number): string {
  const uses = nodes.map(node => {
    const now = readUse(node.process.processId!)
    const then = before.get(node)!
    return { cpuMs: (now.cpuMs - then.cpuMs) / seconds, wakeUps: (now.wakeUps - then.wakeUps) / seconds }
  })
  const mean = (pick: (use: { cpuMs: number, wakeUps: number }) => number): string => (uses.reduce((sum, use) => sum + pick(use), 0) / uses.length).toFixed(1)
  return `${name}: ${mean(use => use.cpuMs)} ms/s, ${mean(use => use.wakeUps)} wake-ups/s`
}

async function drive (fleet: SoakFleet, jobsPerS: number, seconds: number, timers: settings.Timers): Promise<number> {
  const agent = new undici.Agent({ connections: 20 })
  const jobs: Array<Promise<boolean>> = []
  const startedAtMs = timers.nowMs()
  for (let number = 0; timers.nowMs() - startedAtMs < seconds * 1_000; number++) {
    const dueMs = startedAtMs + number * 1_000 / Math.max(jobsPerS, 0.1)
    if (dueMs > timers.nowMs()) await timers.sleep(Math.min(dueMs - timers.nowMs(), seconds * 1_000))
    if (jobsPerS === 0) continue
    const { frontend } = fleet.entries[number % fleet.entries.length]!
    const jobId = (Math.floor(Math.random() * 2 ** 47) * 2 ** 5).toString(16).padStart(16, '0').slice(0, 16)
    const body = JSON.stringify({ spec: 'x', steps: [{ count: TASKS, cpu: 3_000, memory_request_mb: 64, estimated_ms: WORK_MS }], best_effort: true })
    jobs.push(undici.request(`http://${frontend}/spares/${jobId}`, { method: 'POST', body, dispatcher: agent, headers: { host: 'shop.example', 'content-type': 'application/json', 'x-deadline-ms': '2000' } }).then(async response => {
      await response.body.dump()
      return response.statusCode === 200
    }, () => false))
  }
  const answers = await Promise.all(jobs)
  await agent.destroy()
  return answers.length === 0 ? 1 : answers.filter(Boolean).length / answers.length
}

const { values } = parseArgs({
  options: {
    entries: { type: 'string', default: '3' },
    agents: { type: 'string', default: '11' },
    'jobs-per-s': { type: 'string', default: '0' },
    seconds: { type: 'string', default: '8' },
    profile: { type: 'string' },
    flags: { type: 'string', default: '' }
  }
})
async function main (): Promise<void> {
  const timers = new settings.TimerService()
  const flags = values.flags.split(' ').filter(Boolean)
  if (values.profile !== undefined) flags.push('--cpu-prof', `--cpu-prof-dir=${values.profile}`)
  for (const entries of values.entries.split(',').map(Number)) {
    const fleet = new SoakFleet({ entries, agents: Number(values.agents), net: 40, flags }, () => WORK_MS)
    await fleet.start()
    await timers.sleep(WARM_UP_MS)
    const before = new Map([...fleet.entries, ...fleet.agents].map(node => [node, readUse(node.process.processId!)]))
    const seconds = Number(values.seconds)
    const served = await drive(fleet, Number(values['jobs-per-s']), seconds, timers)
    const lines = [describe('entry', fleet.entries, before, seconds), describe('agent', fleet.agents, before, seconds)]
    process.stdout.write(`${entries} entries, ${values.agents} agents, ${values['jobs-per-s']} jobs/s, served ${served.toFixed(3)}: ${lines.join('; ')}\n`)
    if (values.profile !== undefined) await Promise.all([...fleet.entries, ...fleet.agents].map(async node => { await node.process.end('SIGTERM') }))
    await fleet.stop()
  }
}

main().then(() => { process.exit(0) }, thrown => {
  process.stderr.write(`${String(thrown)}\n`)
  process.exit(1)
})
