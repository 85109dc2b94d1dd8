/** The agent of a leased worker: executes the orders of entries and reports their outcome over the same links. */
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { ConfigCache, decodeCopy } from './configCopy.ts'
import { CONFIG_COPY_DELAY_MS, LOAD_REPORT_BASE_LINKS, LOAD_REPORT_PERIOD_MS, LOW_LOAD_FREE_SHARE, LOW_LOAD_REPORT_PERIOD_MS, LOW_LOAD_REPORT_STEP_SHARE, SLOW_RUN_REPORT_PERIOD_MS } from './defaults.ts'
import { isUsableEntry, type RegisteredEntry } from './entryChoice.ts'
import { type ConnectionServices, EntryConnection } from './entryConnection.ts'
import { EntryLinks } from './entryLinks.ts'
import { decodeEvacuations, Evacuations, type EvacuationSource } from './evacuations.ts'
import { events } from './events.ts'
import { runLivenessChecks } from './liveness.ts'
import { decodeDemand, decodeEntry, decodeOrder, encodeCrash, encodeEnd, encodeLoad } from './messages.ts'
import { Owners } from './owners.ts'
import { ProblemLog } from './problemLog.ts'
import { RecentCrashes } from './recentCrashes.ts'

/** Identity of an agent process. Sent in the greeting under these field names. */
export interface AgentIdentity {
  agentId: string
  life: string
  failureDomain: string
}

/** Dependencies of an agent. */
export interface AgentServices extends Omit<ConnectionServices, 'clock'> {
  driver: workers.WorkerDriver
  /** Cache of the newest configuration. Defaults to a private one. */
  configCache?: ConfigCache
  /** The evacuated failure domains. Defaults to an object of its own. */
  evacuations?: Evacuations
}

const MAX_LOGGED_ADDRESS_CHARS = 80

/** An agent with its links to entries and its run executor. */
export class AgentNode {
  readonly executor: workers.RunExecutor
  private readonly configCache: ConfigCache
  private readonly evacuations: Evacuations
  private readonly clock: workers.ElapsedClock
  private readonly owners: Owners
  private readonly links: EntryLinks
  /** Ends to send in the next flush, by entry incarnation. */
  private readonly pendingEnds = new Map<string, workers.TaskEnding[]>()
  /** Entry incarnations with reservations that have not been reported to them yet. */
  private readonly ownersWithNewReservations = new Set<string>()
  private readonly handles: settings.TimerHandle[] = []
  private readonly crashes: RecentCrashes
  private readonly refusedAddresses: ProblemLog
  private configReceivedAtMs = 0
  private isFlushScheduled = false
  private loadTimer: settings.TimerHandle | undefined
  /** Incremented on every change of the load. */
  private loadSequence = 0

  constructor (readonly identity: AgentIdentity, private readonly services: AgentServices) {
    this.configCache = services.configCache ?? new ConfigCache()
    this.configCache.subscribe(() => { this.configReceivedAtMs = services.timers.nowMs() })
    this.evacuations = services.evacuations ?? new Evacuations()
    this.evacuations.subscribe(source => { this.handleEvacuationsChanged(source) })
    this.clock = new workers.ElapsedClock(services.timers)
    this.owners = new Owners(services.timers, this.clock)
    this.crashes = new RecentCrashes(services.timers)
    this.refusedAddresses = new ProblemLog(({ key }, omitted) => { services.log.event(events.AddressRefused, { address: key, omitted }) })
    this.links = new EntryLinks({
      ...identity,
      timers: services.timers,
      dial: address => this.dial(address),
      hasPendingWork: ({ incarnation }) => this.pendingEnds.has(incarnation) || this.executor.holdsTaskOf(incarnation),
      onClosingChanged: connection => { this.sendReport(connection, {}) }
    })
    this.executor = new workers.RunExecutor({ ...services, ownerLeases: this.owners }, {
      onEnd: ending => { this.queueEnd(ending) },
      onLoad: () => { this.scheduleLoadReport() },
      onCrash: crash => { this.reportCrash(crash) },
      onCapacityReserved: owners => { this.reportReservations(owners) }
    })
    this.handles.push(
      runLivenessChecks(services.timers, () => { this.checkLiveness() }, () => { this.renewOwnerLeases() }),
      services.timers.every(SLOW_RUN_REPORT_PERIOD_MS, () => { this.reportSlow() })
    )
  }

  /** True while at least one link is open. */
  get isLinked (): boolean {
    return this.links.openLinks.length > 0
  }

  /** Updates the known entries. Those that can't be used are logged and dropped. */
  updateEntries (entries: readonly RegisteredEntry[]): void {
    const refused = entries.filter(entry => !isUsableEntry(entry))
    this.refusedAddresses.report(refused.map(({ address }) => ({ key: protocol.truncateText(address, MAX_LOGGED_ADDRESS_CHARS), state: '', reason: '' })))
    this.links.updateEntries(entries.filter(isUsableEntry))
  }

  /** Sets the addresses to dial while no link is open. */
  setSeeds (addresses: readonly string[]): void {
    this.links.setSeeds(addresses)
  }

  /** Refuses new tasks. Resolves when the running ones have ended and their ends have been sent. */
  async drain (): Promise<void> {
    await this.executor.drain()
    this.flushEnds()
  }

  /** Closes all links and the executor. */
  async stop (): Promise<void> {
    for (const handle of this.handles) handle.cancel()
    this.loadTimer?.cancel()
    this.links.close()
    await this.executor.close()
  }

  private dial (address: string): EntryConnection {
    const connection = new EntryConnection(address, {
      createGreeting: target => this.createGreeting(target),
      onOpen: (opened, greeting) => { this.handleLinkOpened(opened, greeting) },
      onHeard: (from, heardAtMs) => { this.recordHeard(from, heardAtMs) },
      onMessage: (from, message) => { this.receive(from, message) },
      isBusy: target => this.executor.holdsTaskOf(target.incarnation),
      createHeartbeat: target => ({ configVersion: this.configCache.version, load: target.reportedLoadSequence < this.loadSequence ? this.createLoad(target) : undefined, othersHaveRoom: this.recordTold(target) })
    }, { ...this.services, clock: this.clock })
    connection.run()
    return connection
  }

  private createGreeting (connection: EntryConnection): protocol.runs.IAgentGreeting {
    connection.evacuationRevision = this.evacuations.revision
    return { ...this.identity, load: encodeLoad(this.executor.load, 0), configVersion: this.configCache.version, evacuations: this.evacuations.message }
  }

  private handleLinkOpened (connection: EntryConnection, greeting: protocol.runs.IEntryGreeting): void {
    const { incarnation } = connection
    this.links.recordOpen(connection)
    this.handleEvacuations(connection, greeting.evacuations)
    // The state may have changed since this agent sent its greeting.
    this.sendEvacuations(connection)
    this.pendingEnds.delete(incarnation)
    this.sendReport(connection, { crashes: this.crashes.recent().map(crash => encodeCrash(crash, this.services.timers.nowMs())), ends: this.owners.retainedEnds(incarnation).map(encodeEnd) })
    connection.sendHeld(this.executor.heldBy(incarnation).map(order => ({ ...order.task, attempt: order.attempt })))
    this.handleEntryList(greeting.entries ?? [])
  }

  /**
   * Records a message of an entry. It renews the lease on held tasks only if the entry had read the list of these on the same link, as it
   * has then also sent the stops of those that it no longer wants.
   */
  private recordHeard (connection: EntryConnection, heardAtMs: number): void {
    const { incarnation } = connection
    const isCompared = heardAtMs >= connection.heldSentAtMs || !this.executor.holdsTaskOf(incarnation)
    this.owners.recordMessage(incarnation, isCompared ? heardAtMs : undefined)
  }

  private receive (connection: EntryConnection, message: protocol.runs.IFromEntry): void {
    if (message.orders != null) this.handleOrders(connection, message.orders.orders ?? [])
    else if (message.stop != null) this.handleStop(connection, message.stop)
    else if (message.demand != null) this.executor.updateDemand(connection.incarnation, decodeDemand(message.demand, this.services.timers.nowMs()))
    else if (message.config != null) this.configCache.offer(decodeCopy(message.config))
    else if (message.entries != null) this.handleEntryList(message.entries.entries ?? [])
    else if (message.evacuations != null) this.handleEvacuations(connection, message.evacuations)
    else if (message.beat != null) this.handleHeartbeat(connection, message.beat)
  }

  private handleEvacuations (connection: EntryConnection, message: protocol.runs.IEvacuations | null | undefined): void {
    const state = decodeEvacuations(message)
    if (state === undefined) return
    connection.evacuationRevision = Math.max(connection.evacuationRevision, state.revision)
    this.evacuations.offer(state, `entry ${connection.address}`)
    // A peer whose state is older may have learned it after this node's state was last sent.
    this.sendEvacuations(connection)
  }

  /** Applies a change of the evacuations, and passes it on to the entries that do not have it, as some may not reach the store. */
  private handleEvacuationsChanged (source: EvacuationSource): void {
    const { revision, failureDomains } = this.evacuations
    this.services.log.event(events.EvacuationsChanged, { failureDomains: failureDomains.join(), revision, source })
    this.executor.setEvacuated(this.evacuations.has(this.identity.failureDomain))
    for (const connection of this.links.openLinks) this.sendEvacuations(connection)
  }

  private sendEvacuations (connection: EntryConnection): void {
    const { revision, message } = this.evacuations
    if (connection.evacuationRevision >= revision || !connection.send({ evacuations: message })) return
    connection.evacuationRevision = revision
  }

  private handleHeartbeat (connection: EntryConnection, heartbeat: protocol.runs.IBeat): void {
    connection.isOverloaded = heartbeat.isOverloaded === true
    this.forwardConfig(connection, heartbeat.configVersion ?? 0)
    for (const other of this.links.openLinks) {
      if (other.toldOthersHaveRoom !== this.haveOthersRoom(other)) other.sendHeartbeat()
    }
  }

  /** True if an entry other than that of the connection is linked and not overloaded. */
  private haveOthersRoom (connection: EntryConnection): boolean {
    return this.links.openLinks.some(other => other !== connection && !other.isOverloaded)
  }

  private recordTold (connection: EntryConnection): boolean {
    connection.toldOthersHaveRoom = this.haveOthersRoom(connection)
    return connection.toldOthersHaveRoom
  }

  private handleOrders (connection: EntryConnection, orders: readonly protocol.runs.IRunOrder[]): void {
    const age = new workers.Age(this.services.timers)
    for (const message of orders) {
      for (const order of decodeOrder(message, connection.incarnation, age)) {
        connection.received++
        this.owners.dropEnd(order)
        this.executor.submit(order)
      }
    }
  }

  private handleStop (connection: EntryConnection, stop: protocol.runs.IStopRuns): void {
    const indexes = new Set(stop.indexes ?? [])
    const matches = (order: workers.TaskOrder): boolean => order.task.jobId === stop.jobId && (indexes.size === 0 || (order.task.step === stop.step && indexes.has(order.task.index)))
    this.executor.stop(connection.incarnation, matches, 'stopped by the entry')
  }

  private handleEntryList (entries: readonly protocol.runs.IEntryAddress[]): void {
    this.updateEntries(entries.map(decodeEntry))
  }

  /** Sends the newest configuration, once per version and stream, to an entry that still has an older one after the copy delay, in which it could have read the store. */
  private forwardConfig (connection: EntryConnection, version: number): void {
    if (version >= this.configCache.version || connection.sentConfigVersion === this.configCache.version) return
    if (this.services.timers.nowMs() - Math.max(this.configReceivedAtMs, connection.openedAtMs) < CONFIG_COPY_DELAY_MS) return
    connection.sentConfigVersion = this.configCache.version
    connection.send({ config: this.configCache.message })
  }

  private checkLiveness (): void {
    for (const connection of this.links.all) connection.keepAlive()
    this.links.reconcile()
    this.stopRunsOfUnresponsiveOwners()
  }

  /** Asks all entries for a sign of life after a stall, in which their leases have aged. */
  private renewOwnerLeases (): void {
    for (const connection of this.links.openLinks) connection.sendHeartbeat()
  }

  private stopRunsOfUnresponsiveOwners (): void {
    for (const incarnation of this.owners.sweep()) {
      const held = this.executor.heldBy(incarnation).length
      if (held === 0) continue
      this.services.log.event(events.OwnerUnresponsive, { life: incarnation, held, ownerLeaseMs: Math.round(this.owners.remainingMs(incarnation)) })
      this.executor.stop(incarnation, () => true, 'entry is silent')
    }
  }

  /** Tells every linked entry of a crash, so that also an entry that gets the job later knows which of its tasks to suspect. */
  private reportCrash (crash: workers.WorkerCrash): void {
    this.crashes.add(crash)
    for (const connection of this.links.openLinks) this.sendReport(connection, { crashes: [encodeCrash(crash, this.services.timers.nowMs())] })
  }

  private queueEnd (ending: workers.TaskEnding): void {
    const { owner } = ending.order
    this.owners.retainEnd(ending)
    const pending = this.pendingEnds.get(owner)
    if (pending === undefined) this.pendingEnds.set(owner, [ending])
    else pending.push(ending)
    this.scheduleFlush()
  }

  private scheduleFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => { this.flushEnds() })
  }

  /** Sends pending ends to their entries, and the load to entries with new reservations. Ends for a closed link are sent from the retained ones when it reopens. */
  private flushEnds (): void {
    this.isFlushScheduled = false
    for (const connection of this.links.openLinks) {
      const ends = this.pendingEnds.get(connection.incarnation)
      if (ends !== undefined || this.ownersWithNewReservations.has(connection.incarnation)) this.sendReport(connection, { ends: ends?.map(encodeEnd) })
    }
    this.pendingEnds.clear()
    this.ownersWithNewReservations.clear()
  }

  /** Schedules one load report for all changes within the period. */
  private scheduleLoadReport (): void {
    this.loadSequence++
    this.loadTimer ??= this.services.timers.after(this.loadPeriodMs, () => {
      this.loadTimer = undefined
      for (const connection of this.links.openLinks) {
        if (connection.reportedLoadSequence < this.loadSequence && this.isLoadReportDue(connection)) this.sendReport(connection, {})
      }
    })
  }

  /** Reports new reservations to their entries in the same message as the ends of this event loop turn. */
  private reportReservations (owners: readonly string[]): void {
    for (const owner of owners) this.ownersWithNewReservations.add(owner)
    this.scheduleFlush()
  }

  private get loadPeriodMs (): number {
    const { free, total } = this.executor.load
    const periodMs = free.cpuMilli >= total.cpuMilli * LOW_LOAD_FREE_SHARE ? LOW_LOAD_REPORT_PERIOD_MS : LOAD_REPORT_PERIOD_MS
    return periodMs * Math.max(1, this.links.openLinks.length / LOAD_REPORT_BASE_LINKS)
  }

  private reportSlow (): void {
    const slow = new Map<string, protocol.runs.ISlowRun[]>()
    for (const run of this.executor.runs) {
      if (!workers.isSlow(run)) continue
      const ownerRuns = slow.get(run.order.owner) ?? []
      ownerRuns.push({ ...run.order.task, ...workers.measureProgress(run) })
      slow.set(run.order.owner, ownerRuns)
    }
    if (slow.size === 0) return
    for (const connection of this.links.openLinks) {
      const entryRuns = slow.get(connection.incarnation)
      if (entryRuns !== undefined) this.sendReport(connection, { slow: entryRuns })
    }
  }

  /** Returns false if the last report says the same about free capacity, or if it is close to the current load and the worker is lightly loaded; the next heartbeat carries the difference. */
  private isLoadReportDue (connection: EntryConnection): boolean {
    const { reportedLoad } = connection
    const { load } = this.executor
    if (reportedLoad === undefined || reportedLoad.isPresent !== load.isPresent || reportedLoad.isDraining !== load.isDraining || reportedLoad.total.cpuMilli !== load.total.cpuMilli || !hasSameLabels(reportedLoad, load)) return true
    if (connection.reportedReceived === connection.received && reportedLoad.hasSuspect === load.hasSuspect && workers.equalsSize(reportedLoad.free, this.executor.freeFor(connection.incarnation, load))) return false
    const { cpuMilli } = load.total
    const isLowLoad = Math.min(load.free.cpuMilli, reportedLoad.free.cpuMilli) >= cpuMilli * LOW_LOAD_FREE_SHARE
    return !isLowLoad || Math.abs(load.free.cpuMilli - reportedLoad.free.cpuMilli) >= cpuMilli * LOW_LOAD_REPORT_STEP_SHARE
  }

  private sendReport (connection: EntryConnection, report: protocol.runs.IRunReport): void {
    connection.send({ report: { ...report, load: this.createLoad(connection) } })
  }

  /** Creates the load message for an entry and records it as reported. */
  private createLoad (connection: EntryConnection): protocol.runs.IWorkerLoad {
    const load = this.executor.loadFor(connection.incarnation)
    const reported = { ...load, isDraining: load.isDraining || connection.closingSinceMs !== undefined }
    connection.reportedLoadSequence = this.loadSequence
    connection.reportedLoad = reported
    connection.reportedReceived = connection.received
    return encodeLoad(reported, connection.received)
  }
}

function hasSameLabels (left: workers.ExecutorLoad, right: workers.ExecutorLoad): boolean {
  return left.labels === right.labels || (left.labels.length === right.labels.length && left.labels.every((label, index) => label === right.labels[index]))
}
