/**
 * Measures how a fleet recovers when all its processes are killed and started again at the same moments: when each program listens, has
 * its configuration, its links and its first served job, the processor time until then and for the first jobs, and what callers saw.
 * Usage: `npx tsx scripts/measureRestart.ts --runs 5 --folders .,../before`. Several checkouts, each with its
 * deploy file and its build in `target/`, are measured in turn. The stand-ins and callers share this process, which limits the load.
 */
import * as fs from 'node:fs'
import { parseArgs } from 'node:util'
import * as undici from 'undici'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { Standins } from '../platform/test/soak/standins.ts'
import { PlatformProcess, Role } from '../platform/test/support/platformProcess.ts'
import { createSettingsFile, createStoreServer, writeConfiguration } from '../platform/test/support/standinPlatform.ts'
import { throttleAll } from '../platform/test/support/throttle.ts'

const LINK_PORT = 18_300
const NET = 47
/** Time under load before the processes are killed, and after they are started again. */
const BEFORE_MS = 4_000
const AFTER_MS = 6_000
const WINDOW_MS = 2_000
const RESUBMIT_MS = 1_300
const FIRST_JOBS = 200
const POLL_MS = 5
const TASKS_PER_JOB = 3
const DEADLINE_MS = 1_500

/** Steps of a start by the number of the event that shows them. */
const STEPS: ReadonlyMap<number, string> = new Map([[13_001, 'listens'], [13_004, 'listens'], [12_008, 'configuration'], [12_001, 'link'], [12_003, 'registered'], [12_017, 'claimLink'], [11_001, 'job']])

interface Node {
  process: PlatformProcess
  frontend: string
  readLines: number
  startedAtMs: number
  /** Time since the start and processor time at each step, in milliseconds. */
  steps: Map<string, { atMs: number, cpuMs: number }>
  links: number
  servedCount: number
}

interface Call {
  atMs: number
  outcome: 'served' | 'refused' | 'broken'
  /** Reason of a refusal; empty otherwise. */
  reason: string
}

const timers = new settings.TimerService()
const { values } = parseArgs({
  options: {
    entries: { type: 'string', default: '3' },
    agents: { type: 'string', default: '6' },
    'jobs-per-s': { type: 'string', default: '60' },
    'work-ms': { type: 'string', default: '60' },
    'outage-ms': { type: 'string', default: '900' },
    /** Times for which entries and agents run and are paused in turn. A pause of 0 leaves them alone. */
    'run-ms': { type: 'string', default: '8' },
    'pause-ms': { type: 'string', default: '16' },
    runs: { type: 'string', default: '1' },
    folders: { type: 'string', default: '.' },
    /** Node.js flags, separated by spaces; several sets are separated by commas and measured in turn. */
    flags: { type: 'string', default: '' }
  }
})

/** Returns the processor time of a process in all its threads, in milliseconds. */
function readCpuMs (processId: number): number {
  let nanoseconds = 0
  for (const thread of fs.readdirSync(`/proc/${processId}/task`)) {
    try {
      nanoseconds += Number(fs.readFileSync(`/proc/${processId}/task/${thread}/schedstat`, 'utf8').split(' ')[0])
    } catch {
      // The thread has ended.
    }
  }
  return nanoseconds / 1_000_000
}

function recordStep (node: Node, step: string, atMs = Date.now() - node.startedAtMs): void {
  if (!node.steps.has(step)) node.steps.set(step, { atMs, cpuMs: readCpuMs(node.process.processId!) })
}

/** Records the steps that the new log lines of a process show. */
function readLog (node: Node): void {
  const { lines } = node.process
  for (; node.readLines < lines.length; node.readLines++) {
    const line = lines[node.readLines]!
    if (!line.startsWith('{')) continue
    const { event, timestamp } = JSON.parse(line) as { event: number, timestamp: string }
    const step = STEPS.get(event)
    const atMs = Date.parse(timestamp) - node.startedAtMs
    if (step === undefined || atMs < 0) continue
    recordStep(node, step, atMs)
    if (step === 'link') {
      node.links++
      node.steps.set('lastLink', { atMs, cpuMs: node.steps.get('lastLink')?.cpuMs ?? 0 })
    }
  }
}

function median (numbers: readonly number[]): string {
  const sorted = [...numbers].sort((left, right) => left - right)
  return sorted.length === 0 ? '-' : sorted[Math.floor(sorted.length / 2)]!.toFixed(0)
}

class RestartRun {
  readonly calls: Call[] = []
  readonly nodes: Node[] = []
  private readonly standins = new Standins(() => Number(values['work-ms']))
  private readonly store = new standin.MemoryStore(timers)
  private readonly storeServer = createStoreServer(this.store)
  private readonly agent = new undici.Agent({ connections: 30 })
  private releaseThrottle: () => Promise<void> = async () => {}
  private isEnding = false

  constructor (private readonly folder: string, private readonly flags: readonly string[]) {}

  get entries (): Node[] {
    return this.nodes.filter(node => node.process.role === Role.Entry)
  }

  async run (): Promise<void> {
    await this.createNodes()
    await this.startNodes()
    const load = this.generateLoad()
    await this.follow(BEFORE_MS)
    await this.killAll()
    const killedAtMs = Date.now()
    await timers.sleep(Number(values['outage-ms']))
    await this.startNodes()
    await this.follow(AFTER_MS)
    this.isEnding = true
    await load
    this.print(killedAtMs)
    await this.killAll()
    await this.agent.destroy()
    await this.standins.stop()
    await this.storeServer.stop()
    this.store.close()
  }

  private async createNodes (): Promise<void> {
    const storeAddress = await this.storeServer.start()
    await writeConfiguration(this.store, 1, ['/spares/'])
    for (let number = 0; number < Number(values.entries); number++) {
      const ip = `127.${NET}.0.${number + 1}`
      const frontend = `${ip}:${LINK_PORT + 1}`
      this.add(new PlatformProcess(Role.Entry, createSettingsFile({ nodeId: `entry-${number}`, ip, storeAddress, linkPort: LINK_PORT, frontend, ready: `${ip}:${LINK_PORT + 2}` }), this.flags, this.folder), frontend)
    }
    for (let number = 0; number < Number(values.agents); number++) {
      const ip = `127.${NET}.1.${number + 1}`
      const control = `${ip}:${LINK_PORT + 3}`
      const worker = await this.standins.startWorker({ number, control })
      this.add(new PlatformProcess(Role.Agent, createSettingsFile({ nodeId: `agent-${number}`, ip, storeAddress, linkPort: LINK_PORT, control, worker }), this.flags, this.folder), '')
    }
  }

  private add (process: PlatformProcess, frontend: string): void {
    this.nodes.push({ process, frontend, readLines: 0, startedAtMs: 0, steps: new Map(), links: 0, servedCount: 0 })
  }

  private async startNodes (): Promise<void> {
    for (const node of this.nodes) {
      Object.assign(node, { readLines: node.process.lines.length, startedAtMs: Date.now(), steps: new Map(), links: 0, servedCount: 0 })
      node.process.start()
    }
    const share = { runMs: Number(values['run-ms']), pauseMs: Number(values['pause-ms']) }
    if (share.pauseMs > 0) this.releaseThrottle = throttleAll(this.nodes.map(node => node.process), share)
  }

  private async killAll (): Promise<void> {
    await this.releaseThrottle()
    await Promise.all(this.nodes.map(async ({ process }) => await process.end('SIGKILL')))
    await Promise.all([...this.standins.workers.keys()].map(async number => { await this.standins.restartWorker(number) }))
  }

  /** Follows the logs and the readiness of the entries. */
  private async follow (durationMs: number): Promise<void> {
    const endsAtMs = Date.now() + durationMs
    const probes = this.entries.map(async node => { await this.probe(node, endsAtMs) })
    while (Date.now() < endsAtMs) {
      for (const node of this.nodes) readLog(node)
      await timers.sleep(POLL_MS)
    }
    await Promise.all(probes)
  }

  private async probe (node: Node, endsAtMs: number): Promise<void> {
    const [host, port] = node.frontend.split(':')
    while (Date.now() < endsAtMs && !node.steps.has('ready')) {
      const status = await undici.request(`http://${host}:${Number(port) + 1}/egretvalve/ready`, { dispatcher: this.agent }).then(async response => {
        await response.body.dump()
        return response.statusCode
      }, () => 0)
      if (status === 200) recordStep(node, 'ready')
      await timers.sleep(2 * POLL_MS)
    }
  }

  /** Submits jobs at a fixed rate until the run ends. A caller whose connection broke returns after `RESUBMIT_MS`, one that was refused after its Retry-After. */
  private async generateLoad (): Promise<void> {
    const jobs: Array<Promise<void>> = []
    const periodMs = 1_000 / Number(values['jobs-per-s'])
    const startedAtMs = timers.nowMs()
    for (let number = 0; !this.isEnding; number++) {
      const dueInMs = startedAtMs + number * periodMs - timers.nowMs()
      if (dueInMs > 0) await timers.sleep(dueInMs)
      jobs.push(this.submit(number))
    }
    await Promise.all(jobs)
  }

  private async submit (number: number): Promise<void> {
    const jobId = (Date.now().toString(16) + number.toString(16).padStart(5, '0')).slice(-16).padStart(16, '0')
    for (let attempt = 0; attempt < 3 && !this.isEnding; attempt++) {
      const node = this.entries[(number + attempt) % this.entries.length]!
      const sentAtMs = Date.now()
      const { outcome, reason = '', retryAfterMs } = await this.call(node, jobId)
      this.calls.push({ atMs: sentAtMs, outcome, reason })
      if (outcome === 'served') {
        node.servedCount++
        if (node.servedCount === 1) recordStep(node, 'firstServed')
        if (node.servedCount === FIRST_JOBS + 1) recordStep(node, `served${FIRST_JOBS}`)
        return
      }
      await timers.sleep(retryAfterMs)
    }
  }

  private async call (node: Node, jobId: string): Promise<Pick<Call, 'outcome'> & { reason?: string, retryAfterMs: number }> {
    try {
      const body = JSON.stringify({ spec: 'x', steps: [{ count: TASKS_PER_JOB, cpu: 3_000, memory_request_mb: 64, estimated_ms: Number(values['work-ms']) }], best_effort: true })
      const response = await undici.request(`http://${node.frontend}/spares/${jobId}`, { method: 'POST', body, dispatcher: this.agent, signal: AbortSignal.timeout(DEADLINE_MS), headers: { host: 'shop.example', 'content-type': 'application/json', 'x-deadline-ms': String(DEADLINE_MS) } })
      const text = await response.body.text()
      if (response.statusCode === 200) return { outcome: 'served', retryAfterMs: 0 }
      const retryAfterMs = Number(response.headers['retry-after'] ?? 1) * 1_000
      return response.statusCode === 503 || response.statusCode === 429 ? { outcome: 'refused', reason: (JSON.parse(text) as { error: { message: string } }).error.message, retryAfterMs } : { outcome: 'broken', retryAfterMs: RESUBMIT_MS }
    } catch {
      return { outcome: 'broken', retryAfterMs: RESUBMIT_MS }
    }
  }

  private print (killedAtMs: number): void {
    process.stdout.write(`${this.folder} ${this.flags.join(' ')}\n`)
    for (const role of [Role.Entry, Role.Agent]) {
      const nodes = this.nodes.filter(node => node.process.role === role)
      const steps = new Set(nodes.flatMap(node => [...node.steps.keys()]))
      const columns = [...steps].map(step => {
        const reached = nodes.flatMap(node => node.steps.get(step) ?? [])
        return `${step} ${median(reached.map(({ atMs }) => atMs))}/${median(reached.map(({ cpuMs }) => cpuMs))}`
      })
      const rssKb = nodes.map(node => Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${node.process.processId!}/status`, 'utf8'))![1]!))
      process.stdout.write(`  ${role} (ms since start / ms of processor time, medians): ${columns.join(', ')}; at the end ${median(nodes.map(node => readCpuMs(node.process.processId!)))} ms, ${median(rssKb.map(kb => kb / 1_024))} MB, ${median(nodes.map(node => node.links))} links\n`)
    }
    for (let window = 0; window < 3; window++) {
      const calls = this.calls.filter(({ atMs }) => Math.floor((atMs - killedAtMs) / WINDOW_MS) === window)
      const count = (outcome: Call['outcome']): number => calls.filter(call => call.outcome === outcome).length
      const reasons = new Map<string, number>()
      for (const { reason } of calls) if (reason !== '') reasons.set(reason, (reasons.get(reason) ?? 0) + 1)
      process.stdout.write(`  window ${window}: ${count('served')} served, ${count('refused')} refused, ${count('broken')} broken; ${[...reasons].map(([reason, times]) => `${reason}: ${times}`).join(', ')}\n`)
    }
  }
}

async function main (): Promise<void> {
  for (let run = 0; run < Number(values.runs); run++) {
    for (const folder of values.folders.split(',')) {
      for (const flags of values.flags.split(',')) await new RestartRun(folder, flags.split(' ').filter(Boolean)).run()
    }
  }
}

main().then(() => { process.exit(0) }, thrown => {
  process.stderr.write(`${String(thrown instanceof Error ? thrown.stack : thrown)}\n`)
  process.exit(1)
})
