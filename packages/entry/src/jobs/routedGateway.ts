/** Routes calls to the entry that owns their submission, and answers calls that other entries forward to this one. */
import * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { CallerGateway, GatewayResult, Readiness } from '../api/routes.ts'
import type { Adoption } from '../owners/adoption.ts'
import type { PeerLinks } from '../peers/peerLinks.ts'
import { MOVED_CODE } from './job.ts'
import type { JobRegistry } from './registry.ts'

/** Maximum time that a call waits, beyond its own wait, for its partition to have an owner that may start tasks, in milliseconds. */
const MAX_OWNER_WAIT_MS = 15_000
/** Delay before a call to the owner is retried, in milliseconds. */
const OWNER_RETRY_DELAY_MS = 50
/** Time allowed for a forwarded call in addition to its wait, in milliseconds. */
const FORWARD_MARGIN_MS = 2_000

/** Dependencies of the gateway. */
export interface RoutedGatewayOptions {
  timers: settings.Timers
  local: CallerGateway
  registry: JobRegistry
  ownership: ownership.Ownership
  peers: PeerLinks
  adoption: Adoption
}

/** One attempt of a call; undefined if the owner must be resolved again. */
type Attempt<T> = (remainingWaitMs: number) => Promise<{ value: T } | undefined>

/** Gateway that routes calls by the partition of their submission. */
export class RoutedGateway implements CallerGateway {
  constructor (private readonly options: RoutedGatewayOptions) {}

  readiness = (): Readiness => ({
    ...this.options.local.readiness(),
    hasAssignment: this.options.ownership.assignment.members.length > 0
  })

  submit = async (submission: protocol.wire.ISubmission, waitMs: number, signal: AbortSignal): Promise<GatewayResult> => {
    const key = submission.key ?? {}
    const attempt: Attempt<GatewayResult> = async remainingMs => await this.trySubmit(submission, remainingMs, signal)
    return await this.retryUntilOwned(attempt, waitMs, signal) ?? { kind: 'answered', answer: createOwnerUnavailable(key) }
  }

  lookUp = async (key: protocol.wire.ISubmissionKey, waitMs: number, signal: AbortSignal): Promise<protocol.wire.IAnswer | undefined> => {
    const attempt: Attempt<protocol.wire.IAnswer | undefined> = async remainingMs => await this.tryLookUp(key, remainingMs, signal)
    return await this.retryUntilOwned(attempt, waitMs, signal)
  }

  cancel = async (key: protocol.wire.ISubmissionKey): Promise<protocol.wire.IAnswer | undefined> => {
    const { ownership: entryOwnership, peers, local } = this.options
    const owner = entryOwnership.ownerOf(protocol.resolvePartition(key))
    if (owner === undefined || this.isSelf(owner)) return await local.cancel(key)
    const forwarded = await peers.forward(owner, { cancel: key }, FORWARD_MARGIN_MS)
    return forwarded.ok ? forwarded.val.answer ?? undefined : undefined
  }

  /** Handles a call that another entry forwarded. `notOwner` is set if the caller must resolve the owner again. */
  async handleForward (forward: protocol.wire.IForward, signal: AbortSignal): Promise<protocol.wire.IForwardAnswer> {
    const key = forward.submission?.key ?? forward.lookUp ?? forward.wait ?? forward.cancel ?? {}
    const owner = this.options.ownership.ownerOf(protocol.resolvePartition(key))
    if (owner === undefined || !this.isSelf(owner)) return { notOwner: true }
    if (forward.cancel != null) return { answer: await this.options.local.cancel(key) }
    const waitMs = forward.waitMs ?? 0
    if (forward.submission == null) {
      const found = await this.tryLookUp(key, waitMs, signal)
      return found === undefined ? { notOwner: true } : { answer: found.value }
    }
    const result = await this.trySubmit(forward.submission, waitMs, signal)
    if (result === undefined) return { notOwner: true }
    return result.value.kind === 'conflict' ? { conflict: result.value.message } : { answer: result.value.answer }
  }

  private async trySubmit (submission: protocol.wire.ISubmission, waitMs: number, signal: AbortSignal): Promise<{ value: GatewayResult } | undefined> {
    const owner = this.findOwner(submission.key ?? {})
    if (owner === undefined) return undefined
    if (this.isSelf(owner)) return await this.submitOwned(submission, waitMs, signal)
    const forwarded = await this.options.peers.forward(owner, { submission, waitMs }, waitMs + FORWARD_MARGIN_MS)
    if (forwarded.err || forwarded.val.notOwner === true) return undefined
    if (forwarded.val.conflict) return { value: { kind: 'conflict', message: forwarded.val.conflict } }
    return { value: { kind: 'answered', answer: forwarded.val.answer ?? createOwnerUnavailable(submission.key ?? {}) } }
  }

  private async submitOwned (submission: protocol.wire.ISubmission, waitMs: number, signal: AbortSignal): Promise<{ value: GatewayResult } | undefined> {
    const { registry, adoption, local } = this.options
    const key = submission.key ?? {}
    const partition = protocol.resolvePartition(key)
    const known = registry.find(key)
    if (known?.needsSubmission === true) adoption.supplySubmission(known, submission)
    if (known === undefined) {
      if (this.options.ownership.checkStart(partition).err) return undefined
      const freshness = this.options.ownership.checkFreshness(partition, key.submissionId ?? '')
      if (freshness !== ownership.Freshness.Fresh) return { value: { kind: 'answered', answer: protocol.createUnknownOutcome(key, describeFreshness(freshness)) } }
    }
    const result = await local.submit(submission, waitMs, signal)
    return result.kind === 'answered' && result.answer.code === MOVED_CODE ? undefined : { value: result }
  }

  private async tryLookUp (key: protocol.wire.ISubmissionKey, waitMs: number, signal: AbortSignal): Promise<{ value: protocol.wire.IAnswer | undefined } | undefined> {
    const owner = this.findOwner(key)
    if (owner === undefined) return undefined
    if (!this.isSelf(owner)) {
      const forwarded = await this.options.peers.forward(owner, { lookUp: key, waitMs }, waitMs + FORWARD_MARGIN_MS)
      return forwarded.err || forwarded.val.notOwner === true ? undefined : { value: forwarded.val.answer ?? undefined }
    }
    const checked = this.options.ownership.checkStart(protocol.resolvePartition(key))
    if (checked.err && checked.val === ownership.StartDenial.Acquiring) return undefined
    const answer = await this.options.local.lookUp(key, waitMs, signal)
    return answer?.code === MOVED_CODE ? undefined : { value: answer }
  }

  /** Retries an attempt until an owner has answered. Returns undefined once `waitMs` plus `MAX_OWNER_WAIT_MS` have passed or the call is aborted. */
  private async retryUntilOwned<T> (attempt: Attempt<T>, waitMs: number, signal: AbortSignal): Promise<T | undefined> {
    const { timers } = this.options
    const startedAtMs = timers.nowMs()
    while (!signal.aborted && timers.nowMs() - startedAtMs < MAX_OWNER_WAIT_MS + waitMs) {
      const outcome = await attempt(Math.max(0, waitMs - (timers.nowMs() - startedAtMs)))
      if (outcome !== undefined) return outcome.value
      await timers.sleep(OWNER_RETRY_DELAY_MS, signal)
    }
    return undefined
  }

  private findOwner (key: protocol.wire.ISubmissionKey): ownership.Member | undefined {
    return this.options.ownership.ownerOf(protocol.resolvePartition(key))
  }

  private isSelf (member: ownership.Member): boolean {
    return member.incarnation === this.options.ownership.identity.incarnation
  }
}

/** Creates the answer for an unreachable owner. Its outcome is unknown, because only the owner knows whether the id has run. */
function createOwnerUnavailable (key: protocol.wire.ISubmissionKey): protocol.wire.IAnswer {
  return { ...protocol.createUnknownOutcome(key, 'the owner of the submission can not be reached; ask again with the same id'), code: protocol.AnswerCode.OwnerUnavailable }
}

function describeFreshness (freshness: ownership.Freshness): string {
  switch (freshness) {
    case ownership.Freshness.MayHaveStarted: return 'submissionId: the id is older than the last change of owner and an agent has not answered since; it may have run and will not run now'
    case ownership.Freshness.DatedAhead: return 'submissionId: the id is dated ahead of this entry\'s clock; it will not run now'
    case ownership.Freshness.TooOld: return 'submissionId: the id is older than the retention time; it may have run and will not run now'
    case ownership.Freshness.Fresh: return ''
    default: return protocol.assertNever(freshness)
  }
}
