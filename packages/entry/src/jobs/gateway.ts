/** Answers callers for the submissions that this entry owns. */
import type { CallerGateway, GatewayResult, Readiness } from '../api/routes.ts'
import type * as protocol from '@egretvalve/protocol'
import type { Dispatcher } from '../dispatch/dispatcher.ts'
import type { Intake } from './intake.ts'
import type { JobRegistry } from './registry.ts'

/** Dependencies of the local gateway. */
export interface LocalGatewayOptions {
  intake: Intake
  registry: JobRegistry
  dispatcher: Dispatcher
  readiness: () => Readiness
}

/** Creates the gateway to the jobs that this entry owns. */
export function createLocalGateway (options: LocalGatewayOptions): CallerGateway {
  const { intake, registry, dispatcher, readiness } = options

  async function submit (submission: protocol.wire.ISubmission, waitMs: number, signal: AbortSignal): Promise<GatewayResult> {
    const result = intake.submit(submission)
    if (result.kind !== 'accepted') return result
    return { kind: 'answered', answer: await intake.wait(result.job, waitMs, signal) }
  }

  async function lookUp (key: protocol.wire.ISubmissionKey, waitMs: number, signal: AbortSignal): Promise<protocol.wire.IAnswer | undefined> {
    const job = registry.find(key)
    return job === undefined ? undefined : await intake.wait(job, waitMs, signal)
  }

  async function cancel (key: protocol.wire.ISubmissionKey): Promise<protocol.wire.IAnswer | undefined> {
    const job = registry.find(key)
    if (job === undefined) return undefined
    if (!job.hasAnswer) dispatcher.cancel(job)
    return job.answer ?? job.createProgressAnswer()
  }

  return { submit, lookUp, cancel, readiness }
}
