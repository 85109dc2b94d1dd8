/** The links of an agent: to a bounded number of entries, whatever the size of the fleet. */
import type * as settings from '@egretvalve/settings'
import { AVOID_UNREACHABLE_MS, FORGET_ENTRY_MS, LEAVE_AFTER_MS, SUBSTITUTE_AFTER_MS } from './defaults.ts'
import { chooseEntries, type ListedEntry } from './entryChoice.ts'
import type { EntryConnection } from './entryConnection.ts'

/** What the links need of their agent. */
export interface EntryLinksContext {
  agentId: string
  failureDomain: string
  timers: settings.Timers
  /** Creates a connection and dials. */
  dial: (address: string) => EntryConnection
  /** True while the agent holds tasks of the entry, or ends that it has not been told. */
  isHolding: (connection: EntryConnection) => boolean
  /** Called when the agent starts to give up a link, or wants it again: the entry must be told. */
  onLeavingChanged: (connection: EntryConnection) => void
}

interface KnownEntry extends ListedEntry {
  listedAtMs: number
}

/** Opens, replaces and gives up links. */
export class EntryLinks {
  private readonly connections = new Map<string, EntryConnection>()
  private readonly known = new Map<string, KnownEntry>()
  /** Substitutes that could not be reached either, and until when no other attempt is made. */
  private readonly avoidedUntilMs = new Map<string, number>()
  private seeds: readonly string[] = []
  /** The last choice, and the unreachable entries that it was made for; undefined when the known entries have changed since. */
  private lastChoice: { unreachable: string, chosen: ReadonlySet<string> } | undefined
  private lastListAtMs = 0

  constructor (private readonly context: EntryLinksContext) {}

  get all (): Iterable<EntryConnection> {
    return this.connections.values()
  }

  /** Links on which the entry has greeted. */
  get open (): EntryConnection[] {
    return [...this.connections.values()].filter(connection => connection.isOpen)
  }

  /** Takes a list of entries, from the store or from an entry. An empty one, as of an entry that has just started, says nothing. */
  learn (entries: readonly ListedEntry[]): void {
    if (entries.length === 0) return
    const nowMs = this.context.timers.nowMs()
    this.lastListAtMs = nowMs
    for (const { address, failureDomain } of entries) this.know(address, failureDomain, nowMs)
    this.review()
  }

  /** Takes note of an entry that is linked but not listed, as while the store is away. */
  noteOpen (connection: EntryConnection): void {
    const { address } = connection
    if (!this.known.has(address)) this.know(address, '', this.context.timers.nowMs())
  }

  /** Names addresses to try while no entry is linked. */
  setSeeds (addresses: readonly string[]): void {
    this.seeds = addresses
    this.review()
  }

  /** Opens the links that are wanted and gives up the others. Called regularly. */
  review (): void {
    this.forget()
    const wanted = new Set(this.choose())
    if (this.open.length === 0 || this.known.size === 0) for (const address of this.seeds) wanted.add(address)
    for (const address of wanted) this.want(address)
    for (const [address, connection] of this.connections) {
      if (!wanted.has(address)) this.giveUp(address, connection)
    }
  }

  close (): void {
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }

  private know (address: string, failureDomain: string, listedAtMs: number): void {
    const entry = this.known.get(address)
    if (entry?.failureDomain !== failureDomain) this.lastChoice = undefined
    this.known.set(address, { address, failureDomain, listedAtMs })
  }

  /** Hashing and sorting all entries is worth it only when something has changed. */
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

  /** Forgets entries that newer lists have left out for long. While no list arrives, as when the store is away, all stay. */
  private forget (): void {
    for (const [address, entry] of this.known) {
      if (entry.listedAtMs < this.lastListAtMs - FORGET_ENTRY_MS && this.connections.get(address)?.isOpen !== true) {
        this.known.delete(address)
        this.lastChoice = undefined
      }
    }
  }

  private want (address: string): void {
    const connection = this.connections.get(address)
    if (connection === undefined) {
      this.connections.set(address, this.context.dial(address))
    } else if (connection.leavingSinceMs !== undefined) {
      connection.leavingSinceMs = undefined
      this.context.onLeavingChanged(connection)
    }
  }

  private giveUp (address: string, connection: EntryConnection): void {
    const nowMs = this.context.timers.nowMs()
    if (connection.isOpen && connection.leavingSinceMs === undefined) {
      connection.leavingSinceMs = nowMs
      this.context.onLeavingChanged(connection)
      return
    }
    if (connection.isOpen && (nowMs - connection.leavingSinceMs! < LEAVE_AFTER_MS || this.context.isHolding(connection))) return
    if (!connection.isOpen) this.avoidedUntilMs.set(address, nowMs + AVOID_UNREACHABLE_MS)
    connection.close()
    this.connections.delete(address)
  }
}
