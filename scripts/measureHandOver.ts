/**
 * Measures the processor time of an entry per job that it serves, and per job that it hands over to another entry.
 * Usage: `npx tsx scripts/measureHandOver.ts --jobs-per-s 100 --seconds 10`. Requires a build of `target/` for the other entries and the agents.
 * The measured entry runs the sources in a process of its own; its overload control is replaced by one that accepts all jobs, or none.
 * The stand-ins share this process, as in `measureNodes.ts`.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import * as fs from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import * as undici from 'undici'
import * as settings from '@egretvalve/settings'
import { EntryProgram, readSettings } from '../platform/src/index.ts'
import { SoakFleet } from '../platform/test/soak/fleet.ts'
import { createJobId, readWorkerCount, waitUntil } from '../platform/test/support/jobCalls.ts'

const AGENTS = 6
const RUN_MS = 60
/** Rate before the measurement, at which code is compiled. Jobs that come to a cold fleet at the full rate make run times look long. */
const WARM_UP_JOBS_PER_S = 50
const TASKS_PER_JOB = 3
const MAX_LOG_LINES_PER_S = 400
const START_LIMIT_MS = 30_000
/** Clock ticks per second in /proc (USER_HZ). */
const TICKS_PER_S = 100
const timers = new settings.TimerService()

/** What the overload control of the measured entry decides. */
enum Mode {
  Serve = 'serve',
  HandOver = 'hand-over',
  /** Refuses all jobs, since it knows no other entry. */
  Refuse = 'refuse'
}

async function runEntry (settingsFile: string, mode: string): Promise<void> {
  const log = settings.createLog('entry', 'entry-0', settings.LogLevel.Info, { stream: process.stdout, maxLinesPerS: MAX_LOG_LINES_PER_S })
  const program = new EntryProgram(readSettings(settingsFile).unwrap(), { timers, log })
  const { overload, handOver } = program as unknown as { overload: { accepts: () => boolean }, handOver: { setEntries: () => void } }
  overload.accepts = () => mode === Mode.Serve
  if (mode === Mode.Refuse) handOver.setEntries = () => {}
  await program.start()
  process.once('SIGTERM', () => { process.exit(0) })
}

function readUseMs (processId: number): number {
  const fields = fs.readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) * 1_000 / TICKS_PER_S
}

/** Submits jobs at a fixed rate. Returns their number and that of those that succeeded. */
async function submitJobs (frontend: string, group: number, jobsPerS: number, seconds: number): Promise<{ jobs: number, succeeded: number }> {
  const agent = new undici.Agent({ connections: 20 })
  const answers: Array<Promise<number>> = []
  const startedAtMs = timers.nowMs()
  while (timers.nowMs() - startedAtMs < seconds * 1_000) {
    await timers.sleep(startedAtMs + answers.length * 1_000 / jobsPerS - timers.nowMs())
    const body = JSON.stringify({ spec: 'x', steps: [{ count: TASKS_PER_JOB, cpu: 3_000, memory_request_mb: 64, estimated_ms: RUN_MS }], best_effort: true })
    answers.push(undici.request(`http://${frontend}/spares/${createJobId(group, answers.length)}`, { method: 'POST', body, dispatcher: agent, headers: { host: 'shop.example', 'x-deadline-ms': '2000' } }).then(async response => {
      await response.body.dump()
      return response.statusCode
    }, () => 0))
  }
  const statuses = await Promise.all(answers)
  await agent.destroy()
  return { jobs: statuses.length, succeeded: statuses.filter(status => status === 200).length }
}

async function measure (mode: Mode, net: number, jobsPerS: number, seconds: number, entries: number, flags: readonly string[]): Promise<void> {
  const fleet = new SoakFleet({ entries, agents: AGENTS, net }, () => RUN_MS)
  await fleet.start()
  const [replaced] = fleet.entries
  await replaced!.process.end('SIGKILL')
  const { settingsFile } = replaced!.process as unknown as { settingsFile: string }
  const child: ChildProcess = spawn(process.execPath, [...flags, '--import', 'tsx', fileURLToPath(import.meta.url), 'entry', settingsFile, mode], { stdio: ['ignore', 'ignore', 'inherit'] })
  try {
    await waitUntil(async () => await readWorkerCount(replaced!.frontend) === AGENTS, START_LIMIT_MS)
    await submitJobs(replaced!.frontend, 1, WARM_UP_JOBS_PER_S, seconds)
    const idleFromMs = readUseMs(child.pid!)
    await timers.sleep(seconds * 1_000)
    const loadedFromMs = readUseMs(child.pid!)
    const { jobs, succeeded } = await submitJobs(replaced!.frontend, 2, jobsPerS, seconds)
    const [idleMs, loadedMs] = [loadedFromMs - idleFromMs, readUseMs(child.pid!) - loadedFromMs]
    const metrics = await undici.request(`http://${replaced!.frontend.split(':')[0]}:9464/metrics`).then(async response => await response.body.text())
    const counts = metrics.split('\n').filter(line => /^\S*(jobs_?handed|jobs_?accepted)/i.test(line)).join(', ')
    process.stdout.write(`${mode}: ${jobs} jobs, ${succeeded} succeeded, ${((loadedMs - idleMs) / jobs).toFixed(2)} ms a job (${loadedMs} ms under load, ${idleMs} ms without, in ${seconds} s each); ${counts}\n`)
  } finally {
    // An entry that is profiled exits by itself, so that its profile is written.
    if (flags.length > 0) {
      child.kill('SIGTERM')
      await new Promise(resolve => { child.once('exit', resolve) })
    }
    child.kill('SIGKILL')
    await fleet.stop()
  }
}

async function main (): Promise<void> {
  const { values } = parseArgs({ options: { 'jobs-per-s': { type: 'string', default: '100' }, seconds: { type: 'string', default: '10' }, entries: { type: 'string', default: '3' }, net: { type: 'string', default: '54' }, modes: { type: 'string', default: Object.values(Mode).join() }, /** Folder for processor profiles of the measured entry. */ profile: { type: 'string' } } })
  const flags = values.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${values.profile}`]
  for (const mode of values.modes.split(',') as Mode[]) await measure(mode, Number(values.net), Number(values['jobs-per-s']), Number(values.seconds), Number(values.entries), flags)
}

const isEntry = process.argv[2] === 'entry'
const run = isEntry ? runEntry(process.argv[3]!, process.argv[4]!) : main()
run.then(() => { if (!isEntry) process.exit(0) }, thrown => {
  process.stderr.write(`${String(thrown)}\n`)
  process.exit(1)
})
