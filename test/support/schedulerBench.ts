/** A scheduler on simulated time with fake links to agents. */
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'

export const SIZE: workers.RunSize = { cpuMilli: 3_000, memoryMb: 64, accelerators: 0 }
export const TERMS: scheduler.JobTerms = { queue: 'shop.example/spares/', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }

/** A link to an agent that records what is sent on it. */
export class FakePort implements scheduler.AgentPort {
  /** Tasks sent, oldest first. */
  readonly ordered: Array<{ ref: workers.TaskRef, attempt: number, crashes: number }> = []
  readonly stopped: workers.TaskRef[] = []
  readonly demands: Array<workers.Demand | undefined> = []
  /** Time since the last message of the agent. */
  idleMs = 0

  constructor (readonly agentId: string, readonly incarnation = 'life-1', readonly failureDomain = 'a') {}

  sinceLastMessageMs (): number {
    return this.idleMs
  }

  sendTask (_job: scheduler.Job, task: scheduler.Task, _expiresInMs: number, { crashes }: scheduler.Suspicion): void {
    this.ordered.push({ ref: task.ref, attempt: task.attempt, crashes })
  }

  stop (ref: workers.TaskRef): void {
    this.stopped.push(ref)
  }

  sendDemand (demand: workers.Demand | undefined): void {
    this.demands.push(demand)
  }
}

export function createLoad (changes: Partial<scheduler.ReportedLoad> = {}): scheduler.ReportedLoad {
  const total = { cpuMilli: 30_000, memoryMb: 100_000, accelerators: 0 }
  return { isPresent: true, isDraining: false, service: 'spares', total, free: total, labels: ['a', 'rack-1'], waiting: 0, hasSuspect: false, runTimeRatio: 0, received: 0, ...changes }
}

export function createJob (jobId: string, count: number, changes: Partial<scheduler.StepSpec> = {}): scheduler.JobSpec {
  return { jobId, spec: 'x', steps: [{ count, size: SIZE, estimatedMs: 100, after: [], ...changes }] }
}

/** A scheduler on simulated time. */
export interface Bench {
  timers: settings.FakeTimers
  scheduler: scheduler.Scheduler
  /** Log events, oldest first. */
  logged: Array<{ code: number, fields: settings.LogFields | undefined }>
  submit: (spec: scheduler.JobSpec, terms?: Partial<scheduler.JobTerms>, deadlineMs?: number) => { job: scheduler.Job, outcomes: scheduler.JobOutcome[] }
}

export function createBench (): Bench {
  const timers = new settings.FakeTimers()
  const logged: Bench['logged'] = []
  const log: settings.Log = { ...settings.createSilentLog(), event: ({ code }, fields) => { logged.push({ code, fields }) } }
  const created = new scheduler.Scheduler({ timers, log, random: () => 0.5, failureDomain: 'a' })
  return {
    timers,
    scheduler: created,
    logged,
    submit: (spec, terms = {}, deadlineMs = 2_000) => {
      const outcomes: scheduler.JobOutcome[] = []
      const job = created.submit(spec, { ...TERMS, ...terms }, deadlineMs)
      job.onOutcome(outcome => { outcomes.push(outcome) })
      return { job, outcomes }
    }
  }
}

export function createEnd (ordered: { ref: workers.TaskRef, attempt: number }, end: workers.TaskEnd, reason = ''): scheduler.ReportedEnd {
  return { ...ordered, end, runMs: 100, reason }
}
