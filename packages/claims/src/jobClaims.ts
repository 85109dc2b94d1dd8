/** The claims of one entry on the jobs that it runs. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import { ANSWER_TIMEOUT_MS, CHECK_PERIOD_MS, HELD_RETRY_MS, MAX_CLAIM_VALIDITY_MS, MAX_SEQUENCE, RELEASE_DELAY_MS, RENEW_BEFORE_MS, RENEWAL_MS, REOPEN_AFTER_MS, SUCCESS_RELEASE_DELAY_MS, UNCONFIRMED_LIMIT_MS } from './defaults.ts'
import { events } from './events.ts'
import { type ClaimAnswer, type ClaimRequests, ClaimVerdict } from './model.ts'
import { type ClosedState, type Registrar, type RegistrarPort, Registrars } from './registrars.ts'

/** Receives the results of claims. */
export interface ClaimObserver {
  /** The entry may start tasks of the job. */
  onGranted: (jobId: string) => void
  /** Another entry may still run the job. The claim is repeated until it is granted or released. */
  onHeld: (jobId: string, holderId: string) => void
  /** The job has succeeded at another entry. The claim has ended if it was never granted. */
  onSucceeded: (jobId: string, holderId: string) => void
  /** Another entry has got a job that had been granted. Runs must be stopped; what is left of the claim stands until it is released, and is granted again after the other entry has released the job. */
  onLost: (jobId: string, holderId: string) => void
}

/** Dependencies of the claims. */
export interface JobClaimsServices {
  timers: settings.Timers
  log: settings.Log
}

enum RequestState {
  Sent = 'sent',
  Granted = 'granted'
}

/** A claim at one registrar. */
interface SentClaim {
  readonly registrar: Registrar
  /** Sequence of the last message. Answers to earlier ones may be older than a release. */
  sequence: number
  state: RequestState
}

/** A message that has not been sent. */
interface Queue extends ClaimRequests {
  /** Monotonic time at which its releases are sent without a claim, in milliseconds. */
  releasesDueAtMs: number
}

interface OpenClaim {
  readonly jobId: string
  /** Monotonic time at which the runs of the job will certainly have ended, in milliseconds. */
  validUntilMs: number
  isGranted: boolean
  /** True from the first grant on: runs may go on until the claim is released, also if another entry has got the job. */
  mayRun: boolean
  /** True once a registrar has refused the claim. The others are then asked one after the other, so that two claimants do not block each other. */
  isContended: boolean
  /** Registrar that has refused the claim last. Its refusal stands until it grants the claim. */
  refusedBy: Registrar | undefined
  readonly sent: Map<string, SentClaim>
  /** Registrars of the job, and the version of their registry that they were chosen from. */
  chosen: { registrars: readonly Registrar[], version: number }
}

/** Claims jobs at their registrars. A claim that is granted stands until it is released, or until a registrar that has lost it grants the job to another entry. */
export class JobClaims {
  /** Number of claims that were granted without another entry, as none is known to be alive. */
  unconfirmedCount = 0
  /** Number of jobs that waited for another entry. */
  heldCount = 0
  private readonly registrars: Registrars
  private readonly claims = new Map<string, OpenClaim>()
  /** Messages that have not been sent, by registrar. */
  private readonly queues = new Map<string, Queue>()
  private readonly renewTimer: settings.TimerHandle
  private lastSequence = 0
  private isCheckScheduled = false
  private isFlushScheduled = false
  private hasUrgentReleases = false
  private isStarted = false
  /** Sends releases that have found no claim to travel with. */
  private releaseTimer: { handle: settings.TimerHandle, dueAtMs: number } | undefined
  /** Monotonic time since which claims can't be confirmed, in milliseconds. */
  private unconfirmedSinceMs: number | undefined
  private isUnconfirmedLogged = false

  constructor (private readonly ownId: string, private readonly services: JobClaimsServices, private readonly observer: ClaimObserver) {
    this.registrars = new Registrars(services.timers, ownId)
    this.renewTimer = services.timers.every(RENEW_BEFORE_MS / 2, () => {
      this.renewExpiring()
      this.logUnconfirmed()
    })
  }

  /** Number of jobs that are claimed. */
  get size (): number {
    return this.claims.size
  }

  /** False once no other entry has been able to confirm claims for `UNCONFIRMED_LIMIT_MS`, although some are not known to have ended. */
  get canConfirm (): boolean {
    return this.unconfirmedSinceMs === undefined || this.nowMs - this.unconfirmedSinceMs < UNCONFIRMED_LIMIT_MS
  }

  /** Starts to claim. Call once the other entries are known; until then claims wait. */
  start (): void {
    this.isStarted = true
    this.handleRegistrarsChanged()
  }

  stop (): void {
    this.renewTimer.cancel()
    this.releaseTimer?.handle.cancel()
  }

  /** Claims a job whose runs will have ended in `validForMs` milliseconds. Returns true if it is granted at once; the observer is called then too, or later. */
  claim (jobId: string, validForMs: number): boolean {
    const validUntilMs = this.nowMs + Math.min(validForMs, MAX_CLAIM_VALIDITY_MS)
    const known = this.claims.get(jobId)
    if (known !== undefined) {
      known.validUntilMs = Math.max(known.validUntilMs, validUntilMs)
      this.confirm(known)
      return known.isGranted
    }
    const claim: OpenClaim = { jobId, validUntilMs, isGranted: false, mayRun: false, isContended: false, refusedBy: undefined, sent: new Map(), chosen: { registrars: [], version: -1 } }
    this.claims.set(jobId, claim)
    this.advance(claim)
    return claim.isGranted
  }

  /** Ends the claim on a job of which nothing runs here any more. */
  release (jobId: string, hasSucceeded: boolean): void {
    const claim = this.claims.get(jobId)
    if (claim === undefined) return
    this.claims.delete(jobId)
    for (const each of claim.sent.values()) this.withdraw(claim, each, hasSucceeded)
  }

  /** Records an open link to an entry, which may be this one, that has run for `upMs` milliseconds. */
  handleOpened (entryId: string, port: RegistrarPort, upMs: number): void {
    this.forget(entryId)
    this.registrars.open(entryId, port, upMs)
    this.handleRegistrarsChanged()
  }

  /** Records that a link has closed, or could not be opened. Claims at that registrar are made at the next one. */
  handleClosed (entryId: string, state: ClosedState): void {
    this.forget(entryId)
    this.registrars.close(entryId, state)
    this.handleRegistrarsChanged()
  }

  /** Applies the answers of a registrar. */
  handleAnswers (entryId: string, answers: readonly ClaimAnswer[]): void {
    const registrar = this.registrars.get(entryId)
    registrar?.awaitedSinceMs.shift()
    for (const answer of answers) this.handleAnswer(entryId, answer)
    if (registrar?.isSilent !== true) return
    this.registrars.setSilent(registrar, false)
    this.handleRegistrarsChanged()
  }

  private get nowMs (): number {
    return this.services.timers.nowMs()
  }

  private handleAnswer (entryId: string, { jobId, sequence, verdict, holderId }: ClaimAnswer): void {
    const claim = this.claims.get(jobId)
    const sent = claim?.sent.get(entryId)
    if (claim === undefined || sent?.sequence !== sequence) return
    switch (verdict) {
      case ClaimVerdict.Granted:
        if (sent.state !== RequestState.Sent) return
        if (claim.refusedBy === sent.registrar) claim.refusedBy = undefined
        sent.state = RequestState.Granted
        this.advance(claim)
        return
      case ClaimVerdict.Held:
        this.handleHeld(claim, sent, holderId)
        return
      case ClaimVerdict.Succeeded:
        this.handleSucceeded(claim, entryId, holderId)
        return
      default: protocol.assertNever(verdict)
    }
  }

  private handleHeld (claim: OpenClaim, sent: SentClaim, holderId: string): void {
    claim.sent.delete(sent.registrar.entryId)
    const { isGranted, isContended } = claim
    // Another claimant can't get the job from all of its registrars while one of them still names this entry.
    claim.isGranted = isGranted && this.isConfirmed(claim)
    claim.isContended = true
    claim.refusedBy = sent.registrar
    if (!claim.mayRun) this.withdrawBelow(claim, sent.registrar)
    if (isGranted && !claim.isGranted) {
      this.services.log.event(events.ClaimLost, { jobId: claim.jobId, holder: holderId, registrar: sent.registrar.entryId })
      this.observer.onLost(claim.jobId, holderId)
    } else if (!isGranted && !isContended) {
      this.heldCount++
      this.services.log.event(events.JobHeld, { jobId: claim.jobId, holder: holderId, registrar: sent.registrar.entryId })
      this.observer.onHeld(claim.jobId, holderId)
    }
    this.services.timers.after(HELD_RETRY_MS, () => { if (this.claims.get(claim.jobId) === claim) this.advance(claim) })
  }

  /** Returns true while a registrar names this entry as the holder. */
  private isConfirmed (claim: OpenClaim): boolean {
    return [...claim.sent.values()].some(({ state }) => state === RequestState.Granted)
  }

  private handleSucceeded (claim: OpenClaim, entryId: string, holderId: string): void {
    claim.sent.delete(entryId)
    if (claim.isGranted) return
    this.services.log.event(events.JobSucceededElsewhere, { jobId: claim.jobId, holder: holderId })
    if (!claim.mayRun) this.release(claim.jobId, false)
    this.observer.onSucceeded(claim.jobId, holderId)
  }

  /** Withdraws the claim at the registrars that are asked after the one that has refused it. */
  private withdrawBelow (claim: OpenClaim, refusing: Registrar): void {
    const order = this.registrarsOf(claim)
    const above = order.slice(0, Math.max(0, order.indexOf(refusing)))
    for (const each of [...claim.sent.values()]) {
      if (above.includes(each.registrar)) continue
      claim.sent.delete(each.registrar.entryId)
      this.withdraw(claim, each, false)
    }
    // The other claimant waits for it.
    this.scheduleFlush(true)
  }

  private withdraw (claim: OpenClaim, { registrar }: SentClaim, hasSucceeded: boolean): void {
    const queue = this.queueOf(registrar)
    queue.claims = queue.claims.filter(({ jobId }) => jobId !== claim.jobId)
    queue.releases.push({ jobId: claim.jobId, hasSucceeded })
    if (registrar.entryId === this.ownId) {
      this.flush([this.ownId])
      return
    }
    queue.releasesDueAtMs = Math.min(queue.releasesDueAtMs, this.nowMs + (hasSucceeded ? SUCCESS_RELEASE_DELAY_MS : RELEASE_DELAY_MS))
    this.scheduleReleases(queue.releasesDueAtMs)
  }

  private scheduleReleases (dueAtMs: number): void {
    if (this.releaseTimer !== undefined && this.releaseTimer.dueAtMs <= dueAtMs) return
    this.releaseTimer?.handle.cancel()
    const handle = this.services.timers.after(Math.max(0, dueAtMs - this.nowMs), () => { this.sendDueReleases() })
    this.releaseTimer = { handle, dueAtMs }
  }

  private sendDueReleases (): void {
    this.releaseTimer = undefined
    this.flush([...this.queues].filter(([, { releasesDueAtMs }]) => releasesDueAtMs <= this.nowMs).map(([entryId]) => entryId))
    const nextAtMs = Math.min(...[...this.queues.values()].map(({ releasesDueAtMs }) => releasesDueAtMs))
    if (nextAtMs !== Number.POSITIVE_INFINITY) this.scheduleReleases(nextAtMs)
  }

  private handleRegistrarsChanged (): void {
    if (!this.isStarted || this.registrars.hasReachableOther || !this.registrars.hasOther) this.unconfirmedSinceMs = undefined
    else this.unconfirmedSinceMs ??= this.nowMs
    this.advanceAll()
  }

  private logUnconfirmed (): void {
    if (this.canConfirm === !this.isUnconfirmedLogged) return
    this.isUnconfirmedLogged = !this.canConfirm
    if (this.isUnconfirmedLogged) this.services.log.event(events.ClaimsUnconfirmed, { claims: this.claims.size })
    else this.services.log.event(events.ClaimsConfirmed, { claims: this.claims.size })
  }

  private advanceAll (): void {
    for (const claim of [...this.claims.values()]) this.advance(claim)
  }

  /** Claims the job at those of its registrars that have not been asked, and grants it once all of them have granted it, one of which is another entry unless all others have ended. */
  private advance (claim: OpenClaim): void {
    if (!this.isStarted || (!claim.isGranted && isUnreachable(claim.refusedBy))) return
    const chosen = this.registrarsOf(claim)
    for (const registrar of chosen) {
      if (!claim.sent.has(registrar.entryId)) this.send(claim, registrar)
      // This entry's own answer may have ended the claim.
      if (this.claims.get(claim.jobId) !== claim) return
      if (claim.isContended && claim.sent.get(registrar.entryId)?.state !== RequestState.Granted) return
    }
    if (claim.isGranted || !chosen.every(({ entryId }) => claim.sent.get(entryId)?.state === RequestState.Granted)) return
    const isUnconfirmed = chosen.every(({ entryId }) => entryId === this.ownId)
    if (isUnconfirmed && this.registrars.hasOther) return
    claim.isGranted = true
    claim.mayRun = true
    if (isUnconfirmed) this.unconfirmedCount++
    this.observer.onGranted(claim.jobId)
  }

  private registrarsOf (claim: OpenClaim): readonly Registrar[] {
    const { version } = this.registrars
    if (claim.chosen.version !== version) claim.chosen = { registrars: this.registrars.choose(claim.jobId), version }
    return claim.chosen.registrars
  }

  private send (claim: OpenClaim, registrar: Registrar): void {
    if (registrar.port === undefined) return
    const sent: SentClaim = { registrar, sequence: 0, state: RequestState.Sent }
    claim.sent.set(registrar.entryId, sent)
    this.queueClaim(claim, sent)
  }

  private queueClaim (claim: OpenClaim, sent: SentClaim): void {
    this.lastSequence = (this.lastSequence + 1) % MAX_SEQUENCE
    sent.sequence = this.lastSequence
    this.queueOf(sent.registrar).claims.push({ jobId: claim.jobId, sequence: sent.sequence, wasRefused: claim.isContended && !claim.mayRun, validForMs: Math.max(0, claim.validUntilMs - this.nowMs) })
    // The answer of this entry needs no message.
    if (sent.registrar.entryId === this.ownId) this.flush([this.ownId])
    else this.scheduleFlush(false)
  }

  /** Sends the queued claims, and the releases that can travel with them or are urgent, at the end of this turn of the event loop. */
  private scheduleFlush (hasUrgentReleases: boolean): void {
    this.hasUrgentReleases ||= hasUrgentReleases
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => {
      const sendsAll = this.hasUrgentReleases
      this.isFlushScheduled = false
      this.hasUrgentReleases = false
      this.flush([...this.queues].filter(([, { claims }]) => sendsAll || claims.length > 0).map(([entryId]) => entryId))
    })
  }

  private queueOf ({ entryId }: Registrar): Queue {
    const known = this.queues.get(entryId)
    if (known !== undefined) return known
    const created: Queue = { claims: [], releases: [], releasesDueAtMs: Number.POSITIVE_INFINITY }
    this.queues.set(entryId, created)
    return created
  }

  private flush (entryIds: readonly string[]): void {
    for (const entryId of entryIds) {
      const requests = this.queues.get(entryId)
      this.queues.delete(entryId)
      if (requests !== undefined) this.sendRequests(this.registrars.get(entryId), { claims: requests.claims, releases: requests.releases })
    }
  }

  private sendRequests (registrar: Registrar | undefined, requests: ClaimRequests): void {
    if (registrar?.port === undefined || requests.claims.length + requests.releases.length === 0) return
    if (requests.claims.length > 0 && registrar.entryId !== this.ownId) {
      registrar.awaitedSinceMs.push(this.nowMs)
      this.scheduleCheck()
    }
    registrar.port.send(requests)
  }

  private renewExpiring (): void {
    for (const claim of this.claims.values()) {
      if (!claim.mayRun || claim.validUntilMs - this.nowMs > RENEW_BEFORE_MS) continue
      claim.validUntilMs = this.nowMs + RENEWAL_MS
      this.renew(claim)
    }
  }

  /** Claims a job anew that comes in again while earlier runs go on. Its registrars may have let it go while this process stood still. */
  private confirm (claim: OpenClaim): void {
    claim.isGranted = false
    for (const sent of claim.sent.values()) sent.state = RequestState.Sent
    this.renew(claim)
  }

  private renew (claim: OpenClaim): void {
    for (const sent of [...claim.sent.values()]) if (sent.registrar.port !== undefined) this.queueClaim(claim, sent)
  }

  /** Drops what was sent to a registrar and not answered, and that it has granted claims. */
  private forget (entryId: string): void {
    this.queues.delete(entryId)
    for (const claim of this.claims.values()) claim.sent.delete(entryId)
  }

  private scheduleCheck (): void {
    if (this.isCheckScheduled) return
    this.isCheckScheduled = true
    this.services.timers.after(CHECK_PERIOD_MS, () => { this.check() })
  }

  /** After a stall of this process, answers wait in its sockets. They are read in the turn of the event loop that passes before the check. */
  private async check (): Promise<void> {
    for (let turn = 0; turn < 2; turn++) await new Promise<void>(resolve => { setImmediate(resolve) })
    this.isCheckScheduled = false
    this.checkUnanswered()
    if (this.registrars.isAwaited) this.scheduleCheck()
  }

  /** Finds registrars that are silent. Claims that wait for them are made at the next ones. */
  private checkUnanswered (): void {
    let hasChanged = false
    for (const registrar of this.registrars.all) {
      const silentMs = this.nowMs - (registrar.awaitedSinceMs[0] ?? this.nowMs)
      if (silentMs > REOPEN_AFTER_MS) registrar.port?.reset()
      if (silentMs < ANSWER_TIMEOUT_MS || registrar.isSilent) continue
      this.registrars.setSilent(registrar, true)
      this.services.log.event(events.RegistrarSilent, { registrar: registrar.entryId, silentMs: Math.round(silentMs) })
      hasChanged = true
    }
    if (hasChanged) this.handleRegistrarsChanged()
  }
}

/** Returns true for a registrar that can't be asked now. */
function isUnreachable (registrar: Registrar | undefined): boolean {
  return registrar !== undefined && (registrar.isSilent || registrar.port === undefined)
}
