/** The share of the workers' capacity that an entry can expect to use, and the work queued up to a job. */
import * as workers from '@egretvalve/workers'
import type { AgentRecord, Agents } from './agents.ts'
import type { Job } from './job.ts'
import { estimatedWorkCoreMs, type StepSpec } from './model.ts'
import type { SpeedEstimate } from './speed.ts'

/** Minimum share of the fleet's processors that an entry expects to use, so that it does not refuse the first jobs after being idle. */
const MIN_SHARE = 0.2

/** Returns true when some worker of the service outside of evacuated failure domains, if idle, has enough capacity and the label for a task of the step. */
export function fitsSomewhere (agents: Agents, job: Job, step: StepSpec): boolean {
  for (const { view } of agents.usable) {
    const hasLabel = step.requirement === undefined || view.hasLabel(step.requirement)
    if (view.service === job.terms.service && hasLabel && workers.fits(view.total, step.size)) return true
  }
  return false
}

/** Returns the work of waiting tasks of competing jobs with the same or a more urgent priority, and of the job itself, in core-milliseconds. */
export function workAheadCoreMs (open: Iterable<Job>, job: Job, speeds: SpeedEstimate, competes: (other: Job) => boolean): number {
  let work = 0
  for (const other of open) {
    if (other === job || other.terms.priority > job.terms.priority || !competes(other)) continue
    work += speeds.expectedMs(other.waitingWorkCoreMs)
  }
  return work + estimatedWorkCoreMs(job.spec.steps)
}

/** Returns the cores that this entry can expect to use: the cores of the workers that `mayUse` admits times the entry's share of those in use. */
export function ownCores (agents: Agents, service: string, mayUse: (agent: AgentRecord) => boolean): number {
  let total = 0
  let used = 0
  let own = 0
  for (const agent of agents.all) {
    if (agent.view.service !== service || !agents.acceptsRuns(agent) || !mayUse(agent)) continue
    total += agent.view.total.cpuMilli
    used += agent.view.total.cpuMilli * agent.view.usedShare
    for (const sent of agent.sent.values()) own += sent.job.stepOf(sent.task).size.cpuMilli
  }
  const share = used === 0 ? 1 : Math.min(1, Math.max(MIN_SHARE, own / used))
  return total / 1000 * share
}
