/** What the end of a task says of the worker that had it. */
import type * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import * as workers from '@egretvalve/workers'

/** Notes an end for the ejection of workers that fail too often. A start that an unhealthy worker refused counts as a failure; other tasks that didn't run say nothing. */
export function noteOutcome (ejection: placement.Ejection, agentId: string, { end, reason }: { end: workers.TaskEnd, reason: string }, nowMs: number): void {
  switch (end) {
    case workers.TaskEnd.Done:
      ejection.noteOutcome(agentId, false, nowMs)
      return
    case workers.TaskEnd.Failed:
      ejection.noteOutcome(agentId, true, nowMs)
      return
    case workers.TaskEnd.NotStarted:
      if (reason === workers.StartRefusal.Unhealthy) ejection.noteOutcome(agentId, true, nowMs)
      else ejection.noteNoOutcome(agentId)
      return
    case workers.TaskEnd.Lost:
      ejection.noteNoOutcome(agentId)
      return
    default: protocol.assertNever(end)
  }
}
