/** Conversion between the messages of a link and the types of the product. */
import * as protocol from '@egretvalve/protocol'
import type * as scheduler from '@egretvalve/scheduler'
import * as workers from '@egretvalve/workers'
import type { ListedEntry } from './entryChoice.ts'

const { runs } = protocol

/** Most tasks for which an entry may have room kept: the agent looks at each. A job has some hundred. */
const MAX_DEMAND_COUNT = 10_000

/** Creates the message of a load. */
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
    pace: load.pace
  }
}

/** Reads the message of a load. */
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
    pace: readNumber(message?.pace)
  }
}

/** Reads an entry of a list. */
export function decodeEntry (message: protocol.runs.IEntryAddress): ListedEntry {
  return { address: message.address ?? '', failureDomain: message.failureDomain ?? '' }
}

/** Creates the order of one task; further tasks of its step may join it. */
export function encodeOrder (job: scheduler.Job, task: scheduler.Task, expiresInMs: number): protocol.runs.IRunOrder {
  const step = job.stepOf(task)
  return {
    jobId: job.id,
    step: task.ref.step,
    spec: job.spec.spec,
    size: step.size,
    estimatedMs: step.estimatedMs,
    expiresInMs,
    tasks: [{ index: task.ref.index, attempt: task.attempt }]
  }
}

/** Reads the tasks of an order. */
export function decodeOrder (message: protocol.runs.IRunOrder, owner: string, age: workers.Age): workers.TaskOrder[] {
  return (message.tasks ?? []).map(task => ({
    owner,
    task: { jobId: message.jobId ?? '', step: message.step ?? 0, index: task.index ?? 0 },
    attempt: task.attempt ?? 1,
    spec: message.spec ?? '',
    size: decodeSize(message.size),
    estimatedMs: readNumber(message.estimatedMs),
    age,
    expiresAfterMs: readNumber(message.expiresInMs)
  }))
}

/** Creates the message of a demand; without one, that no task waits. */
export function encodeDemand (demand: workers.Demand | undefined, nowMs: number): protocol.runs.IDemand {
  return demand === undefined ? { count: 0 } : { rank: demand.rank, latestStartInMs: demand.latestStartAtMs - nowMs, size: demand.size, count: demand.count }
}

/** Reads the message of a demand. Undefined when no task waits. */
export function decodeDemand (message: protocol.runs.IDemand, nowMs: number): workers.Demand | undefined {
  const count = Math.min(message.count ?? 0, MAX_DEMAND_COUNT)
  return count === 0 ? undefined : { rank: message.rank ?? 0, latestStartAtMs: nowMs + readNumber(message.latestStartInMs), size: decodeSize(message.size), count }
}

/** Creates the message of an end. */
export function encodeEnd (ending: workers.TaskEnding): protocol.runs.IRunEnd {
  const { task, attempt } = ending.order
  return { ...task, attempt, kind: encodeEndKind(ending.end), runMs: ending.runMs, reason: ending.reason }
}

/** Reads the message of an end. */
export function decodeEnd (message: protocol.runs.IRunEnd): scheduler.ReportedEnd {
  return {
    ref: { jobId: message.jobId ?? '', step: message.step ?? 0, index: message.index ?? 0 },
    attempt: message.attempt ?? 0,
    end: decodeEndKind(message.kind),
    runMs: readNumber(message.runMs),
    reason: message.reason ?? ''
  }
}

/** Reads the message of a slow run. */
export function decodeSlow (message: protocol.runs.ISlowRun): scheduler.SlowRun {
  return {
    ref: { jobId: message.jobId ?? '', step: message.step ?? 0, index: message.index ?? 0 },
    elapsedMs: readNumber(message.elapsedMs),
    percent: readNumber(message.percent),
    stalledMs: readNumber(message.stalledMs)
  }
}

/** Reads a floating-point field. One that is infinite or no number would spoil every sum and comparison that it enters; it counts as not set. */
function readNumber (value: number | null | undefined): number {
  return value != null && Number.isFinite(value) ? value : 0
}

function decodeSize (message: protocol.runs.ISize | null | undefined): workers.RunSize {
  return { cpuMilli: message?.cpuMilli ?? 0, memoryMb: message?.memoryMb ?? 0, accelerators: message?.accelerators ?? 0 }
}

/** Sizes on the wire are not negative; a worker that shrank while it was full has no room. */
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

/** An unknown kind, of a newer agent, counts as an end without a result. */
function decodeEndKind (kind: protocol.runs.EndKind | null | undefined): workers.TaskEnd {
  switch (kind) {
    case runs.EndKind.END_KIND_DONE: return workers.TaskEnd.Done
    case runs.EndKind.END_KIND_FAILED: return workers.TaskEnd.Failed
    case runs.EndKind.END_KIND_NOT_STARTED: return workers.TaskEnd.NotStarted
    default: return workers.TaskEnd.Lost
  }
}
