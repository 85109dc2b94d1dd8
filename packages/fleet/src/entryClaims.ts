/** Claims between entries: an entry claims its jobs at the others, and answers their claims. */
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { decodeRequests, encodeAnswer, isUsable } from './claimMessages.ts'
import { CLAIM_LIST_WAIT_MS } from './defaults.ts'
import { isUsableEntry } from './entryChoice.ts'
import type { EntryIdentity } from './entryIdentity.ts'
import { RegistrarLink } from './registrarLink.ts'

/** Dependencies of the claims. */
export interface EntryClaimsServices {
  timers: settings.Timers
  log: settings.Log
}

/** The link that a claimant opened last. */
interface ClaimantLink {
  readonly claimant: claims.Claimant
  /** Time for which the claimant had run when it opened the link, in milliseconds. */
  readonly upMs: number
  isOpen: boolean
}

/** The claims of an entry process, its record of those of the others, and the links between them. */
export class EntryClaims {
  readonly jobs: claims.JobClaims
  private readonly table: claims.ClaimTable
  private readonly links = new Map<string, RegistrarLink>()
  /** Newest link of each claimant, by its incarnation, and the time for which the claimant had run when it opened it. */
  private readonly newest = new Map<string, ClaimantLink>()
  private readonly startedAtMs: number
  private readonly listWait: settings.TimerHandle
  /** True once claims can be granted. Until then this process doesn't know which other entries to ask. */
  private isStarted = false

  constructor (private readonly identity: Pick<EntryIdentity, 'entryId' | 'life' | 'address'>, private readonly services: EntryClaimsServices, observer: claims.ClaimObserver) {
    this.startedAtMs = services.timers.nowMs()
    this.table = new claims.ClaimTable(services.timers)
    this.jobs = new claims.JobClaims(identity.entryId, services, observer)
    this.listWait = services.timers.after(CLAIM_LIST_WAIT_MS, () => { this.start() })
  }

  /** Answers the claims of other entries on a server. Call before the server starts. */
  accept (server: runtime.LinkServer): void {
    server.accept('claim', protocol.claimLink.exchange, async stream => { await this.serve(stream) })
  }

  /** Sets the registered entries. Links to entries that are no longer registered stay until they close and do not open again. */
  setEntries (entries: readonly protocol.runs.IEntryAddress[]): void {
    const listed = new Map(entries.filter(({ address, failureDomain }) => isUsableEntry({ address: address ?? '', failureDomain: failureDomain ?? '' })).map(entry => [entry.entryId ?? '', entry.address ?? '']))
    listed.delete(this.identity.entryId)
    for (const [entryId, link] of this.links) link.setListed(listed.get(entryId) === link.address)
    for (const [entryId, address] of listed) {
      const known = this.links.get(entryId)
      if (known?.address === address && !known.isClosed) continue
      this.dial(entryId, address)
    }
    this.start()
  }

  stop (): void {
    this.listWait.cancel()
    for (const link of this.links.values()) link.close()
    this.jobs.stop()
    this.table.stop()
  }

  /** Makes this entry a registrar of its own jobs, and starts to claim. */
  private start (): void {
    if (this.isStarted) return
    this.isStarted = true
    this.listWait.cancel()
    const { entryId, life } = this.identity
    const self = { entryId, incarnation: life }
    this.jobs.handleOpened(entryId, { send: requests => { this.jobs.handleAnswers(entryId, this.table.apply(self, requests)) }, reset: () => {} }, this.upMs)
    this.jobs.start()
  }

  private get upMs (): number {
    return this.services.timers.nowMs() - this.startedAtMs
  }

  private dial (entryId: string, address: string): RegistrarLink {
    const earlier = this.links.get(entryId)
    if (earlier !== undefined && !earlier.isClosed) {
      earlier.close()
      this.jobs.handleClosed(entryId, claims.LinkState.Reopening)
    } else {
      // It counts as another entry from now on. Before the start, claims wait for its link.
      this.jobs.handleClosed(entryId, this.isStarted ? claims.LinkState.Absent : claims.LinkState.Reopening)
    }
    const link = new RegistrarLink(entryId, address, { ...this.services, claims: this.jobs, onProcess: ended => { this.handleProcess(ended) }, createGreeting: () => this.createGreeting() })
    this.links.set(entryId, link)
    link.run()
    return link
  }

  private createGreeting (): protocol.runs.IClaimGreeting {
    const { entryId, life, address } = this.identity
    return { entryId, life, upMs: this.upMs, address }
  }

  private async serve (stream: runtime.LinkStream<protocol.runs.FromClaimant, protocol.runs.IFromRegistrar>): Promise<void> {
    const outbox = new runtime.Outbox<protocol.runs.IFromRegistrar>(stream)
    let claimant: claims.Claimant | undefined
    try {
      for await (const message of stream) {
        if (claimant === undefined) {
          if (message.greeting == null) break
          claimant = this.handleGreeting(message.greeting)
          outbox.send({ greeting: this.createGreeting() })
        } else if (message.requests != null && this.newest.get(claimant.incarnation)?.claimant === claimant) {
          this.links.get(claimant.entryId)?.recordSeen()
          const answers = this.answer(claimant, decodeRequests(message.requests)).map(encodeAnswer)
          if (answers.length > 0) outbox.send({ answers: { answers } })
        }
      }
    } catch {
      // The claimant logs the end of its link.
    }
    outbox.end()
    if (claimant !== undefined) this.handleEnded(claimant)
  }

  /** Answers each claim, as claimants count the answers. Unusable claims are refused. */
  private answer (claimant: claims.Claimant, { claims: asked, releases }: claims.ClaimRequests): claims.ClaimAnswer[] {
    const refused = asked.filter(request => !isUsable(request)).map(({ jobId, sequence }) => ({ jobId, sequence, verdict: claims.ClaimVerdict.Held, holderId: '' }))
    return [...this.table.apply(claimant, { claims: asked.filter(isUsable), releases }), ...refused]
  }

  /** Records a new link of a claimant. What comes in on its earlier ones is outdated. */
  private handleGreeting ({ entryId, life, upMs, address }: protocol.runs.IClaimGreeting): claims.Claimant {
    const claimant = { entryId: entryId ?? '', incarnation: life ?? '' }
    const earlier = this.newest.get(claimant.incarnation)
    // Greetings on several connections may be read in any order.
    if (earlier !== undefined && earlier.upMs > (upMs ?? 0)) return claimant
    if (earlier !== undefined) this.table.expireClaims(earlier.claimant)
    this.newest.set(claimant.incarnation, { claimant, upMs: upMs ?? 0, isOpen: true })
    if (claimant.entryId !== this.identity.entryId && isUsableEntry({ address: address ?? '', failureDomain: '' })) this.linkBack(claimant.entryId, address!)
    return claimant
  }

  /** Links to an entry that has linked to this one, at once if it isn't in the list yet, or if the next attempt to open the link is some time away. */
  private linkBack (entryId: string, address: string): void {
    const known = this.links.get(entryId)
    const isKnown = known !== undefined && !known.isClosed
    const link = isKnown && !known.isStuck ? known : this.dial(entryId, isKnown ? known.address : address)
    link.recordSeen()
    if (link !== known) link.setListed(isKnown && known.isListed)
  }

  /** A link that ends says nothing about the runs of its claimant: they go on unless its process has ended. */
  private handleEnded (claimant: claims.Claimant): void {
    const newest = this.newest.get(claimant.incarnation)
    if (newest?.claimant !== claimant) return
    newest.isOpen = false
    if (this.links.get(claimant.entryId)?.isRefused === true) this.handleProcessEnded(claimant)
  }

  /** Finds claimants without a link whose process no longer listens at its address, or has been replaced by another. */
  private handleProcess ({ entryId, isRefused, incarnation }: RegistrarLink): void {
    for (const { claimant, isOpen } of [...this.newest.values()]) {
      if (claimant.entryId === entryId && !isOpen && (isRefused || claimant.incarnation !== incarnation)) this.handleProcessEnded(claimant)
    }
  }

  private handleProcessEnded (claimant: claims.Claimant): void {
    this.newest.delete(claimant.incarnation)
    this.table.expireClaims(claimant)
  }
}
