/** A simulated entry: the real ownership, and a reduced handling of jobs (submit, join, forward, start, answer). */
import type * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import { SimJob } from './simJob.ts'
import type { SimWorld } from './simWorld.ts'
import type { NodeClock } from './simTimers.ts'

const { AnswerKind } = protocol.wire
const FORWARD_TIMEOUT_MS = 8_000
const RETRY_MS = 250
const HOLD_MS = 10_000

/** Receives the answer of one call. */
export type Reply = (answer: protocol.wire.IAnswer) => void

/** One incarnation of an entry. */
export class SimEntry {
  ownership!: ownership.Ownership
  private readonly jobs = new Map<string, SimJob>()

  constructor (readonly incarnation: string, readonly clock: NodeClock, private readonly world: SimWorld) {}

  /** Handles a submission from a caller or from another entry; replies once. */
  submit (key: protocol.wire.ISubmissionKey, taskCount: number, reply: Reply, heldSinceMs = this.clock.nowMs()): void {
    const known = this.jobs.get(protocol.submissionKeyText(key))
    if (known !== undefined) {
      known.join(reply)
      return
    }
    const partition = this.world.partitionOf(key)
    if (this.ownership.ownerOf(partition)?.incarnation === this.incarnation) this.submitOwned(key, partition, taskCount, reply, heldSinceMs)
    else this.forward(key, partition, taskCount, reply, heldSinceMs)
  }

  /** Adopts the jobs of newly acquired partitions from the agents' records. */
  adopt (acquisition: ownership.Acquisition): void {
    for (const record of acquisition.records) {
      for (const report of record.jobs) this.adoptReport(record, report)
    }
    const partitions = new Set(acquisition.partitions)
    for (const job of this.jobs.values()) {
      if (partitions.has(job.partition)) job.completeAdoption(this.ownership.checkFreshness(job.partition, job.key.submissionId ?? ''))
    }
  }

  /** Drops the jobs of lost partitions and submits them to the new owner on behalf of their callers. */
  drop (partitions: readonly number[]): void {
    const lost = new Set(partitions)
    for (const [keyText, job] of this.jobs) {
      if (!lost.has(job.partition)) continue
      this.jobs.delete(keyText)
      const replies = job.abandon()
      for (const reply of replies) this.clock.after(0, () => { this.submit(job.key, job.taskCount, reply) })
    }
  }

  private submitOwned (key: protocol.wire.ISubmissionKey, partition: number, taskCount: number, reply: Reply, heldSinceMs: number): void {
    const checked = this.ownership.checkStart(partition)
    if (checked.err) {
      this.hold(key, taskCount, reply, heldSinceMs)
      return
    }
    const freshness = this.ownership.checkFreshness(partition, key.submissionId ?? '')
    if (freshness !== this.world.freshness.Fresh) {
      reply({ key, kind: AnswerKind.ANSWER_KIND_UNKNOWN, code: freshness })
      return
    }
    const job = new SimJob(key, taskCount, partition, this, this.world)
    this.jobs.set(protocol.submissionKeyText(key), job)
    job.join(reply)
    job.startAll()
  }

  /** Retries a call until its partition has an owner that may start tasks; replies with an unknown outcome after `HOLD_MS`. */
  private hold (key: protocol.wire.ISubmissionKey, taskCount: number, reply: Reply, heldSinceMs: number): void {
    if (this.clock.nowMs() - heldSinceMs > HOLD_MS) reply({ key, kind: AnswerKind.ANSWER_KIND_UNKNOWN })
    else this.clock.after(RETRY_MS, () => { this.submit(key, taskCount, reply, heldSinceMs) })
  }

  private forward (key: protocol.wire.ISubmissionKey, partition: number, taskCount: number, reply: Reply, heldSinceMs: number): void {
    const owner = this.ownership.ownerOf(partition)
    const target = owner === undefined ? undefined : this.world.entries.get(owner.incarnation)
    if (target === undefined) {
      this.hold(key, taskCount, reply, heldSinceMs)
      return
    }
    let isReplied = false
    const once: Reply = answer => {
      if (isReplied) return
      isReplied = true
      reply(answer)
    }
    this.clock.after(FORWARD_TIMEOUT_MS, () => { once({ key, kind: AnswerKind.ANSWER_KIND_UNKNOWN }) })
    const { network } = this.world
    let isDelivered = false
    network.send(this.incarnation, target.incarnation, target.clock, () => {
      // Requests between entries are numbered, so a duplicate is dropped.
      if (isDelivered) return
      isDelivered = true
      if (target.ownership.ownerOf(partition)?.incarnation !== target.incarnation) {
        network.send(target.incarnation, this.incarnation, this.clock, () => {
          if (isReplied) return
          isReplied = true
          this.hold(key, taskCount, reply, heldSinceMs)
        })
        return
      }
      target.submit(key, taskCount, answer => { network.send(target.incarnation, this.incarnation, this.clock, () => { once(answer) }) })
    })
  }

  private adoptReport (record: ownership.GatheredRecord, report: protocol.wire.IJobReport): void {
    const key = report.key ?? {}
    const keyText = protocol.submissionKeyText(key)
    let job = this.jobs.get(keyText)
    if (job === undefined) {
      job = new SimJob(key, report.taskCount ?? 0, report.partition ?? 0, this, this.world)
      this.jobs.set(keyText, job)
    }
    for (const task of report.tasks ?? []) job.adopt(record.agentId, Number(record.incarnation), task)
  }
}
