/** Conversion between link messages and the types of the scheduler and the workers. */
import * as protocol from '@egretvalve/protocol'
import type * as scheduler from '@egretvalve/scheduler'
import * as workers from '@egretvalve/workers'
import type { RegisteredEntry } from './entryChoice.ts'

const { runs } = protocol

/** Largest number of tasks for which an entry may reserve capacity, since the agent iterates over them. A job has a few hundred. */
const MAX_DEMAND_COUNT = 10_000

/** Encodes a load. `received` is the number of tasks received on the link, so that the entry knows which orders the load includes. */
export function encodeLoad (load: workers.ExecutorLoad, received: number): protocol.runs.IWorkerLoad {
  return {
    isPresent: load.isPresent,
    isDraining: load.isDraining,
    service: load.service,
    total: load.total,
    free: clampSize(load.free),
    labels: [...load.labels],
    received,
    waiting: load.waiting,
    hasSuspect: load.hasSuspect,
    pace: load.runTimeRatio
  }
}

/** Decodes a load. */
export function decodeLoad (message: protocol.runs.IWorkerLoad | null | undefined): scheduler.ReportedLoad {
  return {
    isPresent: message?.isPresent ?? false,
    isDraining: message?.isDraining ?? false,
    service: message?.service ?? '',
    total: decodeSize(message?.total),
    free: decodeSize(message?.free),
    labels: message?.labels ?? [],
    received: message?.received ?? 0,
    waiting: message?.waiting ?? 0,
    hasSuspect: message?.hasSuspect ?? false,
    runTimeRatio: readNumber(message?.pace)
  }
}

/** Decodes an entry of an entry list. */
export function decodeEntry (message: protocol.runs.IEntryAddress): RegisteredEntry {
  return { address: message.address ?? '', failureDomain: message.failureDomain ?? '' }
}

/** Encodes the order of one task. Further tasks of the same step can be appended to it. */
export function encodeOrder (job: scheduler.Job, task: scheduler.Task, expiresInMs: number, suspicion: scheduler.Suspicion): protocol.runs.IRunOrder {
  const step = job.stepOf(task)
  return {
    jobId: job.id,
    step: task.ref.step,
    queue: job.terms.queue,
    spec: job.spec.spec,
    size: step.size,
    estimatedMs: step.estimatedMs,
    requirement: step.requirement,
    expiresInMs,
    tasks: [{ index: task.ref.index, attempt: task.attempt, ...suspicion }]
  }
}

/** Decodes the tasks of an order. */
export function decodeOrder (message: protocol.runs.IRunOrder, owner: string, age: workers.Age): workers.TaskOrder[] {
  return (message.tasks ?? []).map(task => ({
    owner,
    task: { jobId: message.jobId ?? '', step: message.step ?? 0, index: task.index ?? 0 },
    attempt: task.attempt ?? 1,
    queue: message.queue ?? '',
    spec: message.spec ?? '',
    size: decodeSize(message.size),
    requirement: message.requirement == null || message.requirement === '' ? undefined : message.requirement,
    estimatedMs: readNumber(message.estimatedMs),
    crashes: task.crashes ?? 0,
    observationMs: readNumber(task.observationMs),
    checksWorker: task.checksWorker ?? false,
    age,
    expiresAfterMs: readNumber(message.expiresInMs)
  }))
}

/** Encodes a demand; undefined becomes a count of 0. `nowMs` is the monotonic time, in milliseconds. */
export function encodeDemand (demand: workers.Demand | undefined, nowMs: number): protocol.runs.IDemand {
  return demand === undefined ? { count: 0 } : { rank: demand.rank, latestStartInMs: demand.latestStartAtMs - nowMs, size: demand.size, count: demand.count }
}

/** Decodes a demand. Returns undefined if no task is waiting. */
export function decodeDemand (message: protocol.runs.IDemand, nowMs: number): workers.Demand | undefined {
  const count = Math.min(message.count ?? 0, MAX_DEMAND_COUNT)
  return count === 0 ? undefined : { rank: message.rank ?? 0, latestStartAtMs: nowMs + readNumber(message.latestStartInMs), size: decodeSize(message.size), count }
}

/** Encodes an end. */
export function encodeEnd (ending: workers.TaskEnding): protocol.runs.IRunEnd {
  const { task, attempt } = ending.order
  return { ...task, attempt, kind: encodeEndKind(ending.end), runMs: ending.runMs, reason: ending.reason }
}

/** Decodes a held task. */
export function decodeHeld (message: protocol.runs.IHeldRun): scheduler.HeldTask {
  return { ref: { jobId: message.jobId ?? '', step: message.step ?? 0, index: message.index ?? 0 }, attempt: message.attempt ?? 0 }
}

/** Decodes an end. */
export function decodeEnd (message: protocol.runs.IRunEnd): scheduler.ReportedEnd {
  return {
    ref: { jobId: message.jobId ?? '', step: message.step ?? 0, index: message.index ?? 0 },
    attempt: message.attempt ?? 0,
    end: decodeEndKind(message.kind),
    runMs: readNumber(message.runMs),
    reason: message.reason ?? ''
  }
}

/** Largest number of lost runs of one crash in a report. A worker of 128 cores runs about as many tasks at a time. */
const MAX_LOST_RUNS = 256

/** Encodes a crash of the worker. */
export function encodeCrash ({ crashId, kind, crashedAtMs, runs: aboard, unconfirmed = [] }: workers.WorkerCrash, nowMs: number): protocol.runs.IWorkerCrash {
  return { crashId, kind, ageMs: Math.max(0, nowMs - crashedAtMs), runs: encodeLostRuns(aboard), unconfirmed: encodeLostRuns(unconfirmed) }
}

/** Decodes a crash of a worker. An unknown kind, from a newer agent, becomes `Down`. */
export function decodeCrash (message: protocol.runs.IWorkerCrash, nowMs: number): workers.WorkerCrash {
  const kind = Object.values(workers.CrashKind).find(each => each === message.kind) ?? workers.CrashKind.Down
  return { crashId: message.crashId ?? '', kind, crashedAtMs: nowMs - Math.max(0, readNumber(message.ageMs)), runs: decodeLostRuns(message.runs), unconfirmed: decodeLostRuns(message.unconfirmed) }
}

function encodeLostRuns (lost: readonly workers.LostRun[]): protocol.runs.ILostRun[] {
  return lost.slice(0, MAX_LOST_RUNS).map(({ task, ...run }) => ({ ...task, ...run }))
}

function decodeLostRuns (lost: readonly protocol.runs.ILostRun[] | null | undefined): workers.LostRun[] {
  return (lost ?? []).slice(0, MAX_LOST_RUNS).map(run => ({
    task: { jobId: run.jobId ?? '', step: run.step ?? 0, index: run.index ?? 0 },
    queue: run.queue ?? '',
    attempt: run.attempt ?? 0,
    earlierCrashes: run.earlierCrashes ?? 0,
    isObserved: run.isObserved ?? false,
    runMs: readNumber(run.runMs)
  }))
}

/** Decodes a report on a slow run. */
export function decodeSlow (message: protocol.runs.ISlowRun): scheduler.SlowRun {
  return {
    ref: { jobId: message.jobId ?? '', step: message.step ?? 0, index: message.index ?? 0 },
    elapsedMs: readNumber(message.elapsedMs),
    percent: readNumber(message.percent),
    stalledMs: readNumber(message.stalledMs)
  }
}

/** Decodes a floating-point field. Infinite and NaN values become 0, as if unset, because they would corrupt sums and comparisons. */
function readNumber (value: number | null | undefined): number {
  return value != null && Number.isFinite(value) ? value : 0
}

function decodeSize (message: protocol.runs.ISize | null | undefined): workers.RunSize {
  return { cpuMilli: message?.cpuMilli ?? 0, memoryMb: message?.memoryMb ?? 0, accelerators: message?.accelerators ?? 0 }
}

/** Raises negative parts to 0, because sizes in messages are unsigned. They occur when a worker shrinks while it is full. */
function clampSize (size: workers.RunSize): workers.RunSize {
  return { cpuMilli: Math.max(0, size.cpuMilli), memoryMb: Math.max(0, size.memoryMb), accelerators: Math.max(0, size.accelerators) }
}

function encodeEndKind (end: workers.TaskEnd): protocol.runs.EndKind {
  switch (end) {
    case workers.TaskEnd.Done: return runs.EndKind.END_KIND_DONE
    case workers.TaskEnd.Failed: return runs.EndKind.END_KIND_FAILED
    case workers.TaskEnd.Lost: return runs.EndKind.END_KIND_LOST
    case workers.TaskEnd.NotStarted: return runs.EndKind.END_KIND_NOT_STARTED
    default: return protocol.assertNever(end)
  }
}

/** Decodes the kind of an end. Unknown kinds, from a newer agent, become `Lost`. */
function decodeEndKind (kind: protocol.runs.EndKind | null | undefined): workers.TaskEnd {
  switch (kind) {
    case runs.EndKind.END_KIND_DONE: return workers.TaskEnd.Done
    case runs.EndKind.END_KIND_FAILED: return workers.TaskEnd.Failed
    case runs.EndKind.END_KIND_NOT_STARTED: return workers.TaskEnd.NotStarted
    default: return workers.TaskEnd.Lost
  }
}
