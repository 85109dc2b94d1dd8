/** Runs a plan against a dispatcher: submits each job at its arrival time and records the outcome. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { BackendServer } from './backend.ts'
import type { Dispatcher, DispatcherMessages, LiveSubmission } from './dispatcher.ts'
import { ServerChange } from './plan.ts'
import type { LoadPlan, ServerEvent } from './plan.ts'
import { Random } from './random.ts'
import type { JobOutcome, RunCosts, RunRecord, TaskStart } from './record.ts'
import { TraceClass, jobKey } from './trace.ts'
import type { TraceJob } from './trace.ts'

/** Delay from the end of the warm-up to the start of the trace. */
const START_DELAY_MS = 50
const MICROSECONDS_PER_MS = 1_000

const WARM_UP_LANES = 6
const WARM_UP_CALLS = 40
const WARM_UP_JOB: TraceJob = {
  atMs: 0,
  team: 'team-1',
  submissionId: '',
  class: TraceClass.Ordinary,
  repeatable: false,
  deadlineMs: 10_000,
  tasks: [{ runMs: 2, declaredMs: 2 }]
}

/** A start message that does not lead to the first start of its task wastes two messages: the start and its report. */
const MESSAGES_PER_REDUNDANT_START = 2

function resolveCosts (after: DispatcherMessages | undefined, before: DispatcherMessages | undefined, starts: readonly TaskStart[], cpuMs: number): RunCosts {
  if (after === undefined || before === undefined) return { cpuMs }
  const firstStarts = new Set(starts.map(start => `${start.key}#${start.index}`)).size
  const redundantStarts = Math.max(0, after.tasksSent - before.tasksSent - firstStarts)
  return {
    wastedMessages: after.overheadMessages - before.overheadMessages + MESSAGES_PER_REDUNDANT_START * redundantStarts,
    workMessages: after.workMessages - before.workMessages,
    cpuMs
  }
}

/** Open-loop load generator: a late answer does not delay the next submission. */
export class LoadGenerator {
  private readonly submissionIds = new Map<string, string>()
  private readonly keys = new Map<string, string>()
  private readonly random: Random
  private startAtMs = 0

  constructor (
    private readonly plan: LoadPlan,
    private readonly dispatcher: Dispatcher,
    private readonly servers: readonly BackendServer[],
    private readonly timers: settings.Timers
  ) {
    this.random = new Random(plan.seed)
  }

  /** Runs the plan until its last answer. `networkMs` is stored in the record. */
  async run (networkMs: number): Promise<RunRecord> {
    await this.warmUp()
    const messagesBefore = this.dispatcher.countMessages()
    const cpuBefore = process.cpuUsage()
    this.startAtMs = this.timers.nowMs() + START_DELAY_MS
    const events = this.plan.events.map(event => this.applyEvent(event))
    const outcomes = await this.submitAll()
    await Promise.all(events)
    const cpu = process.cpuUsage(cpuBefore)
    const starts = this.servers.flatMap((server, index) => this.listStarts(server, index))
    const cpuMs = (cpu.user + cpu.system) / MICROSECONDS_PER_MS
    return {
      policy: this.dispatcher.policy,
      plan: this.plan,
      outcomes,
      starts,
      costs: resolveCosts(this.dispatcher.countMessages(), messagesBefore, starts, cpuMs),
      networkMs
    }
  }

  /** Opens connections and lets the JIT compiler warm up before anything is measured. */
  private async warmUp (): Promise<void> {
    const lanes = Array.from({ length: WARM_UP_LANES }, async (_, lane) => {
      for (let call = 0; call < WARM_UP_CALLS; call++) {
        await this.dispatcher.submit({ job: WARM_UP_JOB, submissionId: protocol.createSubmissionId(), entry: lane % this.plan.fleet.entries })
      }
    })
    await Promise.all(lanes)
  }

  private nowMs (): number {
    return this.timers.nowMs() - this.startAtMs
  }

  private async waitUntil (atMs: number): Promise<void> {
    const delayMs = atMs - this.nowMs()
    if (delayMs > 0) await this.timers.sleep(delayMs)
  }

  private async applyEvent (event: ServerEvent): Promise<void> {
    if (event.atMs > 0) await this.waitUntil(event.atMs)
    if (event.change === ServerChange.Fail) this.servers[event.server]!.isFailing = true
    await this.dispatcher.changeServer(event)
  }

  private async submitAll (): Promise<JobOutcome[]> {
    const outcomes: Array<Promise<JobOutcome>> = []
    for (const job of this.plan.jobs) {
      await this.waitUntil(job.atMs)
      outcomes.push(this.submit(job))
    }
    return await Promise.all(outcomes)
  }

  private async submit (job: TraceJob): Promise<JobOutcome> {
    const entry = this.random.whole(0, this.plan.fleet.entries - 1)
    const submission: LiveSubmission = { job, submissionId: this.resolveSubmissionId(job), entry }
    const submittedAtMs = this.nowMs()
    const cancelled = this.cancelAfterDelay(submission)
    const answer = await this.dispatcher.submit(submission)
    const answeredAtMs = answer.kind === undefined ? undefined : this.nowMs()
    await cancelled
    return { job, submittedAtMs, answeredAtMs, ...answer }
  }

  private async cancelAfterDelay (submission: LiveSubmission): Promise<void> {
    const { cancelAfterMs } = submission.job
    if (cancelAfterMs === undefined) return
    await this.timers.sleep(cancelAfterMs)
    await this.dispatcher.cancel(submission)
  }

  /** Returns the submission id of a job; resubmissions share the id of the first submission. */
  private resolveSubmissionId (job: TraceJob): string {
    const key = jobKey(job)
    const known = this.submissionIds.get(key)
    if (known !== undefined) return known
    const submissionId = protocol.createSubmissionId()
    this.submissionIds.set(key, submissionId)
    this.keys.set(protocol.submissionKeyText({ team: job.team, submissionId }), key)
    return submissionId
  }

  private listStarts (server: BackendServer, index: number): TaskStart[] {
    return server.starts.flatMap(start => {
      const key = this.keys.get(protocol.submissionKeyText(start))
      if (key === undefined) return []
      const endedAtMs = start.endedAtMs === undefined ? undefined : start.endedAtMs - this.startAtMs
      return [{ server: index, key, index: start.index, startedAtMs: start.startedAtMs - this.startAtMs, endedAtMs, isFailed: start.isFailed }]
    })
  }
}
