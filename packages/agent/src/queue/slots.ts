/** Occupancy of the backend server by running and queued tasks. */
import * as protocol from '@egretvalve/protocol'

/** A running task that occupies slots. */
export interface Occupant {
  job: protocol.wire.IJobStart
  task: protocol.wire.ITaskStart
  startedAtMs: number
}

/** Returns the slots that each task of a job occupies, at least one. */
export function slotsOf (job: protocol.wire.IJobStart): number {
  return Math.max(1, job.wanted?.slots ?? 1)
}

/** Returns true for a task whose declared run time is long. */
export function isDeclaredLong (task: protocol.wire.ITaskStart): boolean {
  return (task.declaredRunMs ?? 0) >= protocol.LONG_RUN_MS
}

/** Returns true for a running task that is declared long or has already run long. */
export function isRunningLong (occupant: Occupant, nowMs: number): boolean {
  return isDeclaredLong(occupant.task) || nowMs - occupant.startedAtMs >= protocol.LONG_RUN_MS
}

/** Returns a server's capacity minus the demand of the running and queued jobs; no value is negative. */
export function computeFreeCapacity (total: protocol.wire.ICapacity, jobs: Iterable<protocol.wire.IJobStart>): protocol.wire.ICapacity {
  const free = { slots: total.slots ?? 0, connections: total.connections ?? 0, cores: total.cores ?? 0, memoryMb: total.memoryMb ?? 0, accelerators: total.accelerators ?? 0 }
  for (const job of jobs) {
    free.slots = Math.max(0, free.slots - slotsOf(job))
    free.connections = Math.max(0, free.connections - (job.wanted?.connections ?? 0))
    free.cores = Math.max(0, free.cores - (job.wanted?.cores ?? 0))
    free.memoryMb = Math.max(0, free.memoryMb - (job.wanted?.memoryMb ?? 0))
    free.accelerators = Math.max(0, free.accelerators - (job.wanted?.accelerators ?? 0))
  }
  return free
}
