/** A simulated agent: the real start record, and tasks with random queueing and run times. */
import * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type { Random } from './simRandom.ts'
import { NodeClock } from './simTimers.ts'
import type { SimTime } from './simTimers.ts'
import type { Oracle } from './simOracle.ts'

const { RefusalReason, TaskState } = protocol.wire
const QUEUE_FULL_SHARE = 0.05
const QUEUE_MS = 200
const RUN_MS = 2_000

/** Creates the start record; mutations replace it. */
export type RecordFactory = (timers: NodeClock) => ownership.StartRecord

export function createRecord (clock: NodeClock): ownership.StartRecord {
  return new ownership.StartRecord(ownership.resolveStartRecordDefaults(), clock)
}

/** One incarnation of an agent. */
export class SimAgent {
  readonly clock: NodeClock
  readonly record: ownership.StartRecord
  readonly startedAtWallMs: number

  constructor (
    readonly agentId: string,
    readonly incarnation: number,
    time: SimTime,
    wallOffsetMs: number,
    private readonly random: Random,
    private readonly oracle: Oracle,
    factory: RecordFactory
  ) {
    this.clock = new NodeClock(time, wallOffsetMs)
    this.record = factory(this.clock)
    this.startedAtWallMs = this.clock.wallClockMs()
  }

  /** Handles one start and reports its refusal or its end. */
  start (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart, report: (task: protocol.wire.ITaskReport) => void): void {
    const admitted = this.record.admit(job, task)
    if (admitted.err) {
      report(admitted.val.report ?? { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_NOT_RUN, refusal: admitted.val.reason })
      return
    }
    if (this.random.chance(QUEUE_FULL_SHARE)) {
      this.record.recordNotRun(job, task, RefusalReason.REFUSAL_REASON_QUEUE_FULL)
      report({ index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_NOT_RUN, refusal: RefusalReason.REFUSAL_REASON_QUEUE_FULL })
      return
    }
    this.clock.after(this.random.below(QUEUE_MS), () => { this.run(job, task, report) })
  }

  private run (job: protocol.wire.IJobStart, task: protocol.wire.ITaskStart, report: (task: protocol.wire.ITaskReport) => void): void {
    const identity = { key: job.key ?? {}, index: task.index ?? 0 }
    this.oracle.recordStart(identity.key, identity.index)
    this.record.recordRunning(identity)
    this.clock.after(this.random.below(RUN_MS), () => {
      const ended = { index: task.index, attempt: task.attempt, state: TaskState.TASK_STATE_FINISHED, body: this.oracle.resultOf(identity.key, identity.index) }
      this.record.recordEnd(identity, ended)
      report(ended)
    })
  }
}
