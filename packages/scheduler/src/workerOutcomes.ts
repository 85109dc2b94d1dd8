/** Maps ends of tasks to outcomes for the ejection of workers. */
import type * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import * as workers from '@egretvalve/workers'

/** Records the end of a task for the ejection of workers that fail too often. A start refused by an unhealthy worker counts as a failure; other unstarted or lost tasks count as no outcome. */
export function recordOutcome (ejection: placement.Ejection, agentId: string, { end, reason }: { end: workers.TaskEnd, reason: string }, nowMs: number): void {
  switch (end) {
    case workers.TaskEnd.Done:
      ejection.recordOutcome(agentId, false, nowMs)
      return
    case workers.TaskEnd.Failed:
      ejection.recordOutcome(agentId, true, nowMs)
      return
    case workers.TaskEnd.NotStarted:
      if (reason === workers.StartRefusal.Unhealthy) ejection.recordOutcome(agentId, true, nowMs)
      else ejection.recordNoOutcome(agentId)
      return
    case workers.TaskEnd.Lost:
      ejection.recordNoOutcome(agentId)
      return
    default: protocol.assertNever(end)
  }
}
