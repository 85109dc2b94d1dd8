/** The links of an agent, to a number of entries that does not grow with the fleet. */
import type * as settings from '@egretvalve/settings'
import { ENTRY_RETENTION_MS, LINK_CLOSE_NOTICE_MS, SUBSTITUTE_AFTER_MS, UNLINKED_BACKOFF_MS, UNREACHABLE_BACKOFF_MS } from './defaults.ts'
import { chooseEntries, type RegisteredEntry } from './entryChoice.ts'
import type { EntryConnection } from './entryConnection.ts'

/** Dependencies of the links on their agent. */
export interface EntryLinksContext {
  agentId: string
  failureDomain: string
  timers: settings.Timers
  /** Creates a connection and starts dialling. */
  dial: (address: string) => EntryConnection
  /** True while the agent holds tasks of the entry or ends that have not been sent to it. */
  hasPendingWork: (connection: EntryConnection) => boolean
  /** Called when the agent decides to close a link, or revokes that decision. The entry must be notified. */
  onClosingChanged: (connection: EntryConnection) => void
}

interface KnownEntry extends RegisteredEntry {
  lastSeenAtMs: number
}

/** Opens, replaces and closes links. */
export class EntryLinks {
  private readonly connections = new Map<string, EntryConnection>()
  private readonly known = new Map<string, KnownEntry>()
  /** Monotonic times until which substitutes that could not be reached are not dialled again, in milliseconds, by address. */
  private readonly avoidedUntilMs = new Map<string, number>()
  private seeds: readonly string[] = []
  /** Last choice with the unreachable addresses that it was computed for; undefined if the known entries have changed since. */
  private lastChoice: { unreachable: string, chosen: ReadonlySet<string> } | undefined
  private lastListAtMs = 0

  constructor (private readonly context: EntryLinksContext) {}

  get all (): Iterable<EntryConnection> {
    return this.connections.values()
  }

  /** Connections on which the entry has greeted. */
  get openLinks (): EntryConnection[] {
    return [...this.connections.values()].filter(connection => connection.isOpen)
  }

  /** Adds the entries of a list from the store or from an entry. An empty list is ignored: an entry that has just started sends one. */
  updateEntries (entries: readonly RegisteredEntry[]): void {
    if (entries.length === 0) return
    const nowMs = this.context.timers.nowMs()
    this.lastListAtMs = nowMs
    for (const { address, failureDomain } of entries) this.recordEntry(address, failureDomain, nowMs)
    this.reconcile()
  }

  /** Records an open link to an entry that is in no list, as happens while the store is unreachable. */
  recordOpen (connection: EntryConnection): void {
    const { address } = connection
    if (!this.known.has(address)) this.recordEntry(address, '', this.context.timers.nowMs())
  }

  /** Sets the addresses to dial while no link is open. */
  setSeeds (addresses: readonly string[]): void {
    this.seeds = addresses
    this.reconcile()
  }

  /** Opens the chosen links and closes the others. Called periodically. */
  reconcile (): void {
    this.evictStaleEntries()
    const targets = new Set(this.choose())
    if (this.openLinks.length === 0 || this.known.size === 0) for (const address of this.seeds) targets.add(address)
    for (const address of targets) this.ensureLink(address)
    for (const [address, connection] of this.connections) {
      if (!targets.has(address)) this.retireLink(address, connection)
    }
  }

  close (): void {
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }

  private recordEntry (address: string, failureDomain: string, lastSeenAtMs: number): void {
    const entry = this.known.get(address)
    if (entry?.failureDomain !== failureDomain) this.lastChoice = undefined
    this.known.set(address, { address, failureDomain, lastSeenAtMs })
  }

  /** Returns the chosen addresses. Recomputed only after a change, because it hashes and sorts all entries. */
  private choose (): ReadonlySet<string> {
    const { unreachable } = this
    const key = [...unreachable].sort().join()
    if (this.lastChoice?.unreachable !== key) this.lastChoice = { unreachable: key, chosen: chooseEntries(this.context, this.known.values(), unreachable) }
    return this.lastChoice.chosen
  }

  private get unreachable (): Set<string> {
    const nowMs = this.context.timers.nowMs()
    const addresses = new Set<string>()
    for (const [address, untilMs] of this.avoidedUntilMs) {
      if (nowMs < untilMs) addresses.add(address)
      else this.avoidedUntilMs.delete(address)
    }
    for (const [address, connection] of this.connections) {
      if (connection.closedMs > SUBSTITUTE_AFTER_MS) addresses.add(address)
    }
    return addresses
  }

  /** Removes entries that newer lists have omitted for the retention period. Without new lists, as while the store is unreachable, all entries are retained. */
  private evictStaleEntries (): void {
    for (const [address, entry] of this.known) {
      if (entry.lastSeenAtMs < this.lastListAtMs - ENTRY_RETENTION_MS && this.connections.get(address)?.isOpen !== true) {
        this.known.delete(address)
        this.lastChoice = undefined
      }
    }
  }

  private ensureLink (address: string): void {
    const connection = this.connections.get(address)
    if (connection === undefined) {
      this.connections.set(address, this.context.dial(address))
    } else if (connection.closingSinceMs !== undefined) {
      connection.closingSinceMs = undefined
      this.context.onClosingChanged(connection)
    }
  }

  private retireLink (address: string, connection: EntryConnection): void {
    const nowMs = this.context.timers.nowMs()
    if (connection.isOpen && connection.closingSinceMs === undefined) {
      connection.closingSinceMs = nowMs
      this.context.onClosingChanged(connection)
      return
    }
    if (connection.isOpen && (nowMs - connection.closingSinceMs! < LINK_CLOSE_NOTICE_MS || this.context.hasPendingWork(connection))) return
    if (!connection.isOpen) this.avoidedUntilMs.set(address, nowMs + (this.openLinks.length === 0 ? UNLINKED_BACKOFF_MS : UNREACHABLE_BACKOFF_MS))
    connection.close()
    this.connections.delete(address)
  }
}
