/** Checks before a submission is accepted: whether any backend server is large enough for its tasks, and whether they can meet the deadline. */
import * as admission from '@egretvalve/admission'
import * as placement from '@egretvalve/placement'
import * as protocol from '@egretvalve/protocol'
import type { AgentFleet } from './agentFleet.ts'
import type { ServiceQueue } from './serviceQueue.ts'
import { resolveDeadlineMs } from './taskGroup.ts'

const { wire } = protocol

/** Returns a refusal if no server can run the submission or its deadline can't be met. No task has started at this point. */
export function findRefusal (submission: protocol.wire.ISubmission, service: ServiceQueue, fleet: AgentFleet, nowWallMs: number): protocol.wire.IAnswer | undefined {
  const wanted = placement.resolveWanted(submission.wanted)
  const unplaceable = fleet.view.explainUnplaceable(service.service, wanted)
  if (unplaceable !== undefined) return protocol.createRefusal(submission.key!, protocol.AnswerCode.Unplaceable, unplaceable)
  const decision = decide(submission, wanted, service, fleet, nowWallMs)
  switch (decision.kind) {
    case admission.AdmissionKind.Admitted:
      return undefined
    case admission.AdmissionKind.Refused:
      return protocol.createRefusal(submission.key!, decision.code, decision.message, decision.retryAfterMs)
    default:
      return protocol.assertNever(decision)
  }
}

function decide (submission: protocol.wire.ISubmission, wanted: placement.Capacity, service: ServiceQueue, fleet: AgentFleet, nowWallMs: number): admission.AdmissionDecision {
  const tasks = submission.tasks ?? []
  let expectedMs = 0
  let longestMs = 0
  for (const task of tasks) {
    expectedMs += service.runTimes.expectedRunMs(task.declaredRunMs ?? 0)
    longestMs = Math.max(longestMs, task.declaredRunMs ?? 0)
  }
  const lane = service.resolveLane(wanted, longestMs >= protocol.LONG_RUN_MS)
  const request = {
    team: submission.key!.team ?? '',
    requestClass: submission.requestClass ?? wire.RequestClass.REQUEST_CLASS_ORDINARY,
    taskCount: tasks.length,
    expectedRunMs: expectedMs / Math.max(1, tasks.length),
    deadlineAtMs: resolveDeadlineMs(submission)
  }
  return lane.admission.decide(request, fleet.capacityOf(service.service), nowWallMs)
}
