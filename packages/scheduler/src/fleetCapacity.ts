/** What an entry can count on of the workers that it shares with others, and the work that goes before a job. */
import * as workers from '@egretvalve/workers'
import type { Agents } from './agents.ts'
import type { Job } from './job.ts'
import { estimatedWork, type StepSpec } from './model.ts'
import type { SpeedEstimate } from './speed.ts'

/** Smallest share of the fleet's processors that an entry counts on, so that a start after idleness refuses nothing. */
const MIN_SHARE = 0.2

/** Returns true when some worker of the service, were it empty, could take a task of the step. */
export function fitsSomewhere (agents: Agents, job: Job, step: StepSpec): boolean {
  for (const { view } of agents.all) {
    const hasLabel = step.requirement === undefined || view.hasLabel(step.requirement)
    if (view.service === job.terms.service && hasLabel && workers.fits(view.total, step.size)) return true
  }
  return false
}

/** Work of waiting tasks with the same or a more urgent priority, in core-milliseconds. */
export function workAhead (open: Iterable<Job>, job: Job, speeds: SpeedEstimate): number {
  let work = 0
  for (const other of open) {
    if (other === job || other.terms.priority > job.terms.priority) continue
    for (const task of other.waitingTasks()) {
      const step = other.stepOf(task)
      work += step.size.cpuMilli / 1000 * speeds.expectedMs(step.estimatedMs)
    }
  }
  return work + estimatedWork(job.spec.steps)
}

/** Cores that this entry can count on: the fleet's, by its share of what is in use. */
export function ownCores (agents: Agents, service: string): number {
  let total = 0
  let used = 0
  let own = 0
  for (const agent of agents.all) {
    if (agent.port === undefined || agent.view.service !== service || !agent.view.takesRuns) continue
    total += agent.view.total.cpuMilli
    used += agent.view.total.cpuMilli * agent.view.usedShare
    for (const sent of agent.sent.values()) own += sent.job.stepOf(sent.task).size.cpuMilli
  }
  const share = used === 0 ? 1 : Math.min(1, Math.max(MIN_SHARE, own / used))
  return total / 1000 * share
}
