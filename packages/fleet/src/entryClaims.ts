/** Claims between entries: an entry claims its jobs at the others, and answers their claims. */
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import { decodeRequests, encodeAnswer } from './claimMessages.ts'
import { isUsableEntry } from './entryChoice.ts'
import type { EntryIdentity } from './entryNode.ts'
import { RegistrarLink } from './registrarLink.ts'

/** Dependencies of the claims. */
export interface EntryClaimsServices {
  timers: settings.Timers
  log: settings.Log
}

/** The claims of an entry process, its record of those of the others, and the links between them. */
export class EntryClaims {
  readonly jobs: claims.JobClaims
  private readonly table: claims.ClaimTable
  private readonly links = new Map<string, RegistrarLink>()
  /** Number of open streams of each claimant, by its incarnation. */
  private readonly streams = new Map<string, number>()
  private readonly startedAtMs: number

  constructor (private readonly identity: Pick<EntryIdentity, 'entryId' | 'life'>, private readonly services: EntryClaimsServices, observer: claims.ClaimObserver) {
    this.startedAtMs = services.timers.nowMs()
    this.table = new claims.ClaimTable(services.timers)
    this.jobs = new claims.JobClaims(identity.entryId, services, observer)
    const self = { entryId: identity.entryId, incarnation: identity.life }
    this.jobs.handleOpened(identity.entryId, { send: requests => { this.jobs.handleAnswers(identity.entryId, this.table.apply(self, requests)) }, reset: () => {} }, 0)
  }

  /** Answers the claims of other entries on a server. Call before the server starts. */
  accept (server: runtime.LinkServer): void {
    server.accept('claim', protocol.claimLink.exchange, async stream => { await this.serve(stream) })
  }

  /** Sets the registered entries. Links to entries that are no longer registered stay until they close. */
  setEntries (entries: readonly protocol.runs.IEntryAddress[]): void {
    const listed = new Map(entries.filter(({ address, failureDomain }) => isUsableEntry({ address: address ?? '', failureDomain: failureDomain ?? '' })).map(entry => [entry.entryId ?? '', entry.address ?? '']))
    listed.delete(this.identity.entryId)
    for (const [entryId, link] of this.links) link.isListed = listed.get(entryId) === link.address
    for (const [entryId, address] of listed) {
      const known = this.links.get(entryId)
      if (known?.address !== address || known.isClosed) this.dial(entryId, address, known)
    }
  }

  stop (): void {
    for (const link of this.links.values()) link.close()
    this.jobs.stop()
    this.table.stop()
  }

  private dial (entryId: string, address: string, earlier: RegistrarLink | undefined): void {
    earlier?.close()
    const link = new RegistrarLink(entryId, address, { ...this.services, claims: this.jobs, createGreeting: () => this.createGreeting() })
    this.links.set(entryId, link)
    link.run()
  }

  private createGreeting (): protocol.runs.IClaimGreeting {
    return { entryId: this.identity.entryId, life: this.identity.life, upMs: this.services.timers.nowMs() - this.startedAtMs }
  }

  private async serve (stream: runtime.LinkStream<protocol.runs.FromClaimant, protocol.runs.IFromRegistrar>): Promise<void> {
    const outbox = new runtime.Outbox<protocol.runs.IFromRegistrar>(stream)
    let claimant: claims.Claimant | undefined
    try {
      for await (const message of stream) {
        if (claimant === undefined) {
          if (message.greeting == null) break
          claimant = { entryId: message.greeting.entryId ?? '', incarnation: message.greeting.life ?? '' }
          this.streams.set(claimant.incarnation, (this.streams.get(claimant.incarnation) ?? 0) + 1)
          outbox.send({ greeting: this.createGreeting() })
        } else if (message.requests != null) {
          const answers = this.table.apply(claimant, decodeRequests(message.requests)).map(encodeAnswer)
          if (answers.length > 0) outbox.send({ answers: { answers } })
        }
      }
    } catch {
      // The claimant logs the end of its link.
    }
    outbox.end()
    if (claimant !== undefined) this.handleStreamEnded(claimant)
  }

  private handleStreamEnded (claimant: claims.Claimant): void {
    const left = (this.streams.get(claimant.incarnation) ?? 1) - 1
    if (left > 0) {
      this.streams.set(claimant.incarnation, left)
      return
    }
    this.streams.delete(claimant.incarnation)
    this.table.handleGone(claimant)
  }
}
