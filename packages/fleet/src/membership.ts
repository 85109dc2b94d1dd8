/** Registration of entries in the store, and the list of registered entries. */
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import * as zod from 'zod'
import { CancellationPublisher, cancellationsSchema } from './cancellations.ts'
import { CANCELLATION_PREFIX, ENTRY_PREFIX, INCOMPLETE_READ_MS, MAX_NAME_CHARS, MEMBER_LEASE_MS, MEMBER_READ_MS, MEMBER_RENEW_MS, REGISTRY_PREFIX } from './defaults.ts'
import type { EntryIdentity } from './entryIdentity.ts'
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

/** What entries have registered in the store. */
export interface Registry {
  entries: protocol.runs.IEntryAddress[]
  /** Ids of jobs that callers have cancelled at some entry. */
  cancelledJobs: string[]
}

/** Reads what entries have registered. */
export class EntryListReader {
  private readonly problemLog: ProblemLog

  constructor (private readonly services: MembershipServices) {
    this.problemLog = new ProblemLog(({ key, reason }, omitted) => { services.log.event(events.EntryUnusable, { key, reason, omitted }) })
  }

  /** Returns the registered entries without those that another writer has left and that name no entry to use, which are logged. Returns undefined if the store call fails. */
  async read (): Promise<protocol.runs.IEntryAddress[] | undefined> {
    return (await this.readPrefix(ENTRY_PREFIX))?.entries
  }

  /** The same with the jobs that were cancelled, in one store call. */
  async readRegistry (): Promise<Registry | undefined> {
    return await this.readPrefix(REGISTRY_PREFIX)
  }

  private async readPrefix (prefix: string): Promise<Registry | undefined> {
    const { store, log } = this.services
    const read = await store.list(prefix)
    if (read.err) {
      log.event(events.EntryListUnreadable, { failure: read.val.failure, reason: read.val.error.describe() })
      return undefined
    }
    const registry: Registry = { entries: [], cancelledJobs: [] }
    const problems: ItemProblem[] = []
    for (const { key, value, revision } of read.val.values) {
      const problem = this.decode(key, Buffer.from(value), registry)
      if (problem !== undefined) problems.push({ key, state: String(revision), reason: protocol.describeInputProblem(problem) })
    }
    this.problemLog.report(problems)
    return registry
  }

  /** Adds what a key holds to the registry, or returns why it can't be read. */
  private decode (key: string, value: Buffer, registry: Registry): protocol.InputProblem | undefined {
    if (key.startsWith(ENTRY_PREFIX)) {
      const entry = protocol.parseJson(value, memberSchema)
      if (entry.err) return entry.val
      registry.entries.push(entry.val)
    } else if (key.startsWith(CANCELLATION_PREFIX)) {
      const jobIds = protocol.parseJson(value, cancellationsSchema)
      if (jobIds.err) return jobIds.val
      registry.cancelledJobs.push(...jobIds.val)
    }
    return undefined
  }
}

/** Registers one entry, polls what all entries have registered, and publishes the jobs that are cancelled at this one. */
export class EntryMembership {
  private leaseId: string | undefined
  private lastEntriesJson = ''
  private readonly abort = new AbortController()
  private readonly reader: EntryListReader
  private readonly cancellations: CancellationPublisher
  private cancelledElsewhere: ReadonlySet<string> = new Set()

  /** `onEntries` is called whenever the list of entries changes, `onCancelled` for each job that was cancelled at another entry. */
  constructor (private readonly identity: EntryIdentity, private readonly services: MembershipServices, private readonly onEntries: (entries: readonly protocol.runs.IEntryAddress[]) => void, private readonly onCancelled: (jobId: string) => void = () => {}) {
    this.reader = new EntryListReader(services)
    this.cancellations = new CancellationPublisher(identity.entryId, services)
  }

  /** Tells the other entries of a cancelled job. Resolves with whether the store holds it, after `limitMs` milliseconds at the latest. */
  async publishCancellation (jobId: string, limitMs: number): Promise<boolean> {
    return await this.cancellations.publish(jobId, limitMs)
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
    await this.cancellations.retry()
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
    const registry = await this.reader.readRegistry()
    if (registry === undefined) return INCOMPLETE_READ_MS
    const hasChanged = this.handleEntries(registry.entries)
    this.handleCancelledJobs(registry.cancelledJobs)
    const isIncomplete = hasChanged || !registry.entries.some(({ life }) => life === this.identity.life)
    return isIncomplete ? INCOMPLETE_READ_MS : MEMBER_READ_MS
  }

  /** Passes on a list that has changed. Returns false for one that has not. */
  private handleEntries (entries: readonly protocol.runs.IEntryAddress[]): boolean {
    const json = JSON.stringify(entries)
    if (json === this.lastEntriesJson) return false
    this.services.log.event(events.EntriesChanged, { entries: entries.length })
    this.onEntries(entries)
    this.lastEntriesJson = json
    return true
  }

  private handleCancelledJobs (jobIds: readonly string[]): void {
    for (const jobId of jobIds) {
      if (this.cancelledElsewhere.has(jobId) || this.cancellations.has(jobId)) continue
      this.services.log.event(events.CancellationReceived, { jobId })
      this.onCancelled(jobId)
    }
    this.cancelledElsewhere = new Set(jobIds)
  }
}
