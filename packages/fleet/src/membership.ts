/** Keeps entries listed in the store, and reads the list. */
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as zod from 'zod'
import { ENTRY_PREFIX, MEMBER_LEASE_MS, MEMBER_READ_MS, MEMBER_RENEW_MS } from './defaults.ts'
import type { EntryIdentity } from './entryNode.ts'
import { events } from './events.ts'

/** Entries of earlier versions list no failure domain. */
const memberSchema = zod.object({ entryId: zod.string(), life: zod.string(), address: zod.string(), failureDomain: zod.string().default('') })

/** Services of the membership. */
export interface MembershipServices {
  timers: settings.Timers
  log: settings.Log
  store: platform.Store
}

/** Reads the entries that are listed. Undefined when the store can't be reached. */
export async function readEntries (services: MembershipServices): Promise<protocol.runs.IEntryAddress[] | undefined> {
  const listed = await services.store.list(ENTRY_PREFIX)
  if (listed.err) {
    services.log.event(events.ListUnreadable, { failure: listed.val.failure, reason: listed.val.error.describe() })
    return undefined
  }
  return listed.val.values.flatMap(({ key, value }) => {
    const parsed = protocol.parseJson(Buffer.from(value), memberSchema)
    if (parsed.err) services.log.event(events.ListUnreadable, { key, reason: protocol.describeInputProblem(parsed.val) })
    return parsed.ok ? [parsed.val] : []
  })
}

/** Lists one entry and reads the others. */
export class EntryMembership {
  private leaseId: string | undefined
  private known = ''
  private readonly abort = new AbortController()

  constructor (private readonly identity: EntryIdentity, private readonly services: MembershipServices, private readonly onEntries: (entries: readonly protocol.runs.IEntryAddress[]) => void) {}

  /** Keeps the entry listed until `stop`. */
  start (): void {
    this.keepListed()
    this.readRegularly()
  }

  /** Takes the entry off the list. */
  async stop (): Promise<void> {
    this.abort.abort()
    if (this.leaseId !== undefined) await this.services.store.revokeLease(this.leaseId)
  }

  private async keepListed (): Promise<void> {
    while (!this.abort.signal.aborted) {
      if (this.leaseId === undefined) await this.list()
      else await this.renew(this.leaseId)
      await this.services.timers.sleep(this.leaseId === undefined ? MEMBER_RENEW_MS / 4 : MEMBER_RENEW_MS, this.abort.signal)
    }
  }

  private async list (): Promise<void> {
    const { store, log } = this.services
    const lease = await store.grantLease(MEMBER_LEASE_MS)
    if (lease.err) {
      log.event(events.EntryListFailed, { step: 'grant', reason: lease.val.error.describe() })
      return
    }
    const written = await this.writeKey(lease.val.leaseId)
    if (!written) return
    this.leaseId = lease.val.leaseId
    log.event(events.EntryListed, { entryId: this.identity.entryId, address: this.identity.address })
  }

  private async writeKey (leaseId: string): Promise<boolean> {
    const { store, log } = this.services
    const key = ENTRY_PREFIX + this.identity.entryId
    const current = await store.get(key)
    if (current.ok) {
      const written = await store.compareAndSwap(key, current.val.revision, JSON.stringify(this.identity), leaseId)
      if (written.ok) return true
      log.event(events.EntryListFailed, { step: 'write', reason: written.val.error.describe() })
      return false
    }
    log.event(events.EntryListFailed, { step: 'read', reason: current.val.error.describe() })
    return false
  }

  private async renew (leaseId: string): Promise<void> {
    const renewed = await this.services.store.renewLease(leaseId)
    if (renewed.ok) return
    this.services.log.event(events.EntryListFailed, { step: 'renew', failure: renewed.val.failure, reason: renewed.val.error.describe() })
    if (renewed.val.failure === 'mismatch') {
      this.leaseId = undefined
      await this.list()
    }
  }

  private async readRegularly (): Promise<void> {
    while (!this.abort.signal.aborted) {
      const entries = await readEntries(this.services)
      if (entries !== undefined) this.take(entries)
      await this.services.timers.sleep(MEMBER_READ_MS, this.abort.signal)
    }
  }

  private take (entries: readonly protocol.runs.IEntryAddress[]): void {
    const text = JSON.stringify(entries)
    if (text === this.known) return
    this.known = text
    this.services.log.event(events.EntriesChanged, { entries: entries.length })
    this.onEntries(entries)
  }
}
