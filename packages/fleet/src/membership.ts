/** Registration of entries in the store, and the list of registered entries. */
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import * as zod from 'zod'
import { ENTRY_PREFIX, MAX_NAME_CHARS, MEMBER_LEASE_MS, MEMBER_READ_MS, MEMBER_RENEW_MS } from './defaults.ts'
import type { EntryIdentity } from './entryNode.ts'
import { events } from './events.ts'
import { repeatUntilAborted } from './loops.ts'
import { type ItemProblem, ProblemLog } from './problemLog.ts'

/** Value of an entry's key. Entries of earlier versions register no failure domain. */
const name = zod.string().max(MAX_NAME_CHARS)
const memberSchema = zod.object({
  entryId: name,
  life: name,
  address: zod.string().refine(runtime.isSocketAddress, 'an IP address and a port from 1 to 65535'),
  failureDomain: name.default('')
})

/** Dependencies of the membership. */
export interface MembershipServices {
  timers: settings.Timers
  log: settings.Log
  store: platform.Store
}

/** Reads the list of registered entries. */
export class EntryListReader {
  private readonly problemLog: ProblemLog

  constructor (private readonly services: MembershipServices) {
    this.problemLog = new ProblemLog(({ key, reason }, omitted) => { services.log.event(events.EntryUnusable, { key, reason, omitted }) })
  }

  /** Returns the registered entries without those that another writer has left and that name no entry to use, which are logged. Returns undefined if the store call fails. */
  async read (): Promise<protocol.runs.IEntryAddress[] | undefined> {
    const { store, log } = this.services
    const read = await store.list(ENTRY_PREFIX)
    if (read.err) {
      log.event(events.EntryListUnreadable, { failure: read.val.failure, reason: read.val.error.describe() })
      return undefined
    }
    const entries: protocol.runs.IEntryAddress[] = []
    const problems: ItemProblem[] = []
    for (const { key, value, revision } of read.val.values) {
      const parsed = protocol.parseJson(Buffer.from(value), memberSchema)
      if (parsed.ok) entries.push(parsed.val)
      else problems.push({ key, state: String(revision), reason: protocol.describeInputProblem(parsed.val) })
    }
    this.problemLog.report(problems)
    return entries
  }
}

/** Registers one entry and polls the list of all entries. `onEntries` is called whenever the list changes. */
export class EntryMembership {
  private leaseId: string | undefined
  private lastEntriesJson = ''
  private readonly abort = new AbortController()
  private readonly reader: EntryListReader

  constructor (private readonly identity: EntryIdentity, private readonly services: MembershipServices, private readonly onEntries: (entries: readonly protocol.runs.IEntryAddress[]) => void) {
    this.reader = new EntryListReader(services)
  }

  /** Maintains the registration and polls the list until `stop`. */
  start (): void {
    const { signal } = this.abort
    repeatUntilAborted('membership.register', this.services, signal, async () => await this.maintainRegistration())
    repeatUntilAborted('membership.read', this.services, signal, async () => await this.pollEntries())
  }

  /** Stops polling and revokes the lease, which removes the entry's key. */
  async stop (): Promise<void> {
    this.abort.abort()
    if (this.leaseId !== undefined) await this.services.store.revokeLease(this.leaseId)
  }

  /** Registers the entry or renews its lease. Returns the time until the next renewal, in milliseconds. */
  private async maintainRegistration (): Promise<number> {
    if (this.leaseId === undefined) await this.register()
    else await this.renew(this.leaseId)
    return this.leaseId === undefined ? MEMBER_RENEW_MS / 4 : MEMBER_RENEW_MS
  }

  private async register (): Promise<void> {
    const { store, log } = this.services
    const lease = await store.grantLease(MEMBER_LEASE_MS)
    if (lease.err) {
      log.event(events.EntryRegistrationFailed, { step: 'grant', reason: lease.val.error.describe() })
      return
    }
    const written = await this.writeKey(lease.val.leaseId)
    if (!written) return
    this.leaseId = lease.val.leaseId
    log.event(events.EntryRegistered, { entryId: this.identity.entryId, address: this.identity.address })
  }

  private async writeKey (leaseId: string): Promise<boolean> {
    const { store, log } = this.services
    const key = ENTRY_PREFIX + this.identity.entryId
    const current = await store.get(key)
    if (current.ok) {
      const written = await store.compareAndSwap(key, current.val.revision, JSON.stringify(this.identity), leaseId)
      if (written.ok) return true
      log.event(events.EntryRegistrationFailed, { step: 'write', reason: written.val.error.describe() })
      return false
    }
    log.event(events.EntryRegistrationFailed, { step: 'read', reason: current.val.error.describe() })
    return false
  }

  private async renew (leaseId: string): Promise<void> {
    const renewed = await this.services.store.renewLease(leaseId)
    if (renewed.ok) return
    this.services.log.event(events.EntryRegistrationFailed, { step: 'renew', failure: renewed.val.failure, reason: renewed.val.error.describe() })
    if (renewed.val.failure === 'mismatch') {
      this.leaseId = undefined
      await this.register()
    }
  }

  /** Reads the list. Returns the time until the next read, in milliseconds. */
  private async pollEntries (): Promise<number> {
    const entries = await this.reader.read()
    if (entries !== undefined) this.handleEntries(entries)
    return MEMBER_READ_MS
  }

  private handleEntries (entries: readonly protocol.runs.IEntryAddress[]): void {
    const json = JSON.stringify(entries)
    if (json === this.lastEntriesJson) return
    this.services.log.event(events.EntriesChanged, { entries: entries.length })
    this.onEntries(entries)
    this.lastEntriesJson = json
  }
}
