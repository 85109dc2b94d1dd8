/** Applies a team's configuration to its submissions. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'

const { wire } = protocol

/** Policy for submissions: the teams' configurations, and whether a team needs one. */
export interface SubmissionPolicy {
  registry: config.ConfigRegistry
  /** Refuses submissions of teams without a configuration. */
  requireConfig: boolean
}

/**
 * Returns the submission with the class, deadline and run time that its team has configured for the request, or a refusal.
 * The values are copied into the submission, so configuration changes don't affect submissions in progress.
 */
export function applyConfig (policy: SubmissionPolicy, submission: protocol.wire.ISubmission): results.Result<protocol.wire.ISubmission, protocol.wire.IAnswer> {
  const key = submission.key ?? {}
  const team = key.team ?? ''
  const accepted = policy.registry.get(team)
  if (accepted === undefined) {
    if (!policy.requireConfig) return results.Ok(submission)
    return results.Err(protocol.createRefusal(key, protocol.AnswerCode.UnknownTeam, `team: got ${team}; expected a team with a configuration`))
  }
  const service = config.findService(accepted.document, submission.service ?? '')
  if (service === undefined) {
    const names = accepted.document.services.map(candidate => candidate.name).join(', ')
    return results.Err(protocol.createRefusal(key, protocol.AnswerCode.UnknownService, `service: got ${submission.service}; expected one of ${names}, the services of team ${team}`))
  }
  const kind = config.findRequestKind(accepted.document, service.name, submission.path ?? '')
  return results.Ok(kind === undefined ? submission : applyRequestKind(submission, kind))
}

/** Applies the settings of a request kind. A request is repeatable only if both its caller and its team allow it. */
function applyRequestKind (submission: protocol.wire.ISubmission, kind: config.RequestKind): protocol.wire.ISubmission {
  return {
    ...submission,
    requestClass: resolveClass(kind.requestClass),
    repeatable: submission.repeatable === true && kind.repeatable,
    deadlineAtMs: submission.single === true ? resolveDeadline(submission, kind) : submission.deadlineAtMs,
    tasks: (submission.tasks ?? []).map(task => (task.declaredRunMs ?? 0) > 0 ? task : { ...task, declaredRunMs: kind.declaredRunMs })
  }
}

function resolveClass (requestClass: config.RequestClass): protocol.wire.RequestClass {
  switch (requestClass) {
    case config.RequestClass.Pressing: return wire.RequestClass.REQUEST_CLASS_PRESSING
    case config.RequestClass.Ordinary: return wire.RequestClass.REQUEST_CLASS_ORDINARY
    default: return protocol.assertNever(requestClass)
  }
}

function resolveDeadline (submission: protocol.wire.ISubmission, kind: config.RequestKind): number {
  const configuredAtMs = (submission.receivedAtMs ?? 0) + kind.deadlineMs
  return Math.min(submission.deadlineAtMs ?? configuredAtMs, configuredAtMs)
}
