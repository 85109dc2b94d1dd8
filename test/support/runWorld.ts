/** Plays agents and their workers over drawn delays, losses, stops, pauses and restarts, and checks what the agents report. */
import * as prand from 'pure-rand'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as workers from '@egretvalve/workers'
import { passTime } from './simulatedTime.ts'

const TASK_SIZE: workers.RunSize = { cpuMilli: 1_000, memoryMb: 1, accelerators: 0 }
const TOTAL: workers.RunSize = { cpuMilli: 24_000, memoryMb: 1_024, accelerators: 0 }
const AGENTS = 2
const MAX_TASKS = 8
const MAX_WORK_MS = 250
const STEP_MS = 5
const REPORT_PERIOD_MS = 1_500
/** Time after the last fault in which all tasks end and all capacity becomes free, in milliseconds. */
const SETTLE_MS = 8_000
/** Longest time by which a late call is carried out, in milliseconds. */
const MAX_LATE_MS = 3_000
const MAX_ATTEMPTS = 6

/** What is drawn in a play. */
export interface RunWorldOptions {
  seed: number
  durationMs: number
  /** Longest time for which a call or its answer is under way, in milliseconds. */
  maxPathMs: number
  /** Share of the calls and of the answers that are late by up to `MAX_LATE_MS`, so that they count as lost. */
  lateShare: number
  hidesStoppingRuns: boolean
  /** True if workers and agents start anew and workers fall silent. */
  hasRestarts: boolean
}

interface PlacedTask {
  key: string
  ref: workers.TaskRef
  attempt: number
  agent: WorldAgent
  isWanted: boolean
}

interface WorldAgent {
  readonly worker: standin.StandinWorker
  executor: workers.RunExecutor
  /** Time at which the worker or the agent was last disturbed. Infinite while it is. */
  isPaused: boolean
}

/** Plays one seed. Returns descriptions of violated guarantees. */
export async function playRuns (options: RunWorldOptions): Promise<string[]> {
  const generator = prand.xoroshiro128plus(options.seed)
  const random = (): number => prand.unsafeUniformIntDistribution(0, 1_000_000, generator) / 1_000_001
  const timers = new settings.FakeTimers()
  const runRecorder = new standin.RunRecorder()
  const violations: string[] = []
  const placed = new Map<string, PlacedTask>()
  const agents: WorldAgent[] = []
  let isFaulty = true
  let jobs = 0

  const drawPathMs = (): number => isFaulty && random() < options.lateShare ? random() * MAX_LATE_MS : random() * options.maxPathMs

  const place = (ref: workers.TaskRef, attempt: number): void => {
    const agent = agents[Math.floor(random() * agents.length)]!
    const key = workers.taskKey(ref)
    placed.set(key, { key, ref, attempt, agent, isWanted: true })
    agent.executor.submit({ owner: 'entry', task: ref, attempt, queue: 'queue', spec: '', size: TASK_SIZE, estimatedMs: 100, crashes: 0, observationMs: 0, age: new workers.Age(timers), expiresAfterMs: 60_000 })
  }

  const handleEnd = (agent: WorldAgent, { order: { task, attempt }, end, reason }: workers.TaskEnding): void => {
    const key = workers.taskKey(task)
    const known = placed.get(key)
    if (known?.attempt !== attempt || known.agent !== agent) {
      violations.push(`${key}#${attempt} ended twice: ${end}, ${reason}`)
      return
    }
    if (agent.worker.isRunning(task)) violations.push(`${key}#${attempt} reported as ${end} while it runs: ${reason}`)
    placed.delete(key)
    if (end !== workers.TaskEnd.Done && known.isWanted && isFaulty && attempt < MAX_ATTEMPTS) timers.after(0, () => { place(task, attempt + 1) })
  }

  const createExecutor = (worker: standin.StandinWorker): workers.RunExecutor => {
    const executor: workers.RunExecutor = new workers.RunExecutor({ timers, log: settings.createSilentLog(), driver: worker }, {
      onEnd: ending => {
        const agent = agents.find(each => each.executor === executor)
        // The ends of a closed agent reach no entry.
        if (agent !== undefined) handleEnd(agent, ending)
      },
      onLoad: () => {},
      onCrash: () => {},
      onCapacityReserved: () => {}
    })
    executor.applyReport(worker.report())
    return executor
  }

  /** Replaces an agent process. Its tasks count as lost once the next one accepts tasks. */
  const restartAgent = async (agent: WorldAgent): Promise<void> => {
    const lost = [...placed.values()].filter(each => each.agent === agent)
    const next = createExecutor(agent.worker)
    const previous = agent.executor
    agent.executor = next
    await previous.close()
    while (!next.load.isPresent) await timers.sleep(STEP_MS)
    for (const { key, ref, attempt, isWanted } of lost) {
      if (placed.get(key)?.attempt !== attempt) continue
      placed.delete(key)
      if (agent.worker.isRunning(ref)) violations.push(`${key}#${attempt} runs on when the next agent accepts tasks`)
      if (isWanted && isFaulty) place(ref, attempt + 1)
    }
  }

  const disturb = async (agent: WorldAgent): Promise<void> => {
    if (agent.isPaused) return
    agent.isPaused = true
    const kind = Math.floor(random() * 3)
    if (kind === 0) {
      agent.worker.restart()
      await timers.sleep(20)
      agent.executor.applyReport(agent.worker.report())
    } else if (kind === 1) {
      agent.worker.faults.isUnresponsive = true
      await timers.sleep(50 + random() * 900)
      agent.worker.faults.isUnresponsive = false
    } else await restartAgent(agent)
    agent.isPaused = false
  }

  for (let number = 0; number < AGENTS; number++) {
    const worker = new standin.StandinWorker({ workerId: `w-${number}`, total: TOTAL, workOf: ({ jobId, index }) => 10 + (Number(jobId) * 37 + index * 11) % MAX_WORK_MS, sizeOf: () => TASK_SIZE, clockRate: 0.98 + 0.02 * number, pathDelayMs: drawPathMs, stopDurationMs: () => random() * 50, hidesStoppingRuns: options.hidesStoppingRuns, timers, runRecorder })
    agents.push({ worker, executor: createExecutor(worker), isPaused: false })
  }
  const reports = timers.every(REPORT_PERIOD_MS, () => { for (const { executor, worker, isPaused } of agents) if (!isPaused) executor.applyReport(worker.report()) })

  const submitJob = (): void => {
    const jobId = String(jobs++)
    const count = 1 + Math.floor(random() * MAX_TASKS)
    for (let index = 0; index < count; index++) place({ jobId, step: 0, index }, 1)
    if (random() > 0.4) return
    timers.after(random() * MAX_WORK_MS, () => {
      for (const task of placed.values()) if (task.ref.jobId === jobId) task.isWanted = false
      for (const { executor } of agents) executor.stop('entry', ({ task }) => task.jobId === jobId, 'test')
    })
  }

  for (let passedMs = 0; passedMs < options.durationMs; passedMs += STEP_MS) {
    if (random() < 0.2) submitJob()
    if (options.hasRestarts && random() < 0.004) disturb(agents[Math.floor(random() * AGENTS)]!)
    await passTime(timers, STEP_MS)
  }
  isFaulty = false
  await passTime(timers, SETTLE_MS)
  reports.cancel()
  violations.push(...runRecorder.concurrentRuns.map(key => `${key} ran twice at the same time`))
  for (const { key, attempt } of placed.values()) violations.push(`${key}#${attempt} has no end`)
  for (const [number, { executor, worker }] of agents.entries()) {
    if (executor.load.free.cpuMilli !== TOTAL.cpuMilli) violations.push(`agent ${number} has ${executor.load.free.cpuMilli} of ${TOTAL.cpuMilli} free`)
    if (worker.runCount > 0) violations.push(`worker ${number} still runs ${worker.runCount} tasks`)
    await executor.close()
  }
  return violations
}
