/** The agent of a leased worker: takes orders of entries over their links and reports what becomes of them. */
import * as net from 'node:net'
import type * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { ConfigShelf, decodeCopy } from './configCopy.ts'
import { CALM_FREE_SHARE, CALM_LOAD_PERIOD_MS, CALM_STEP_SHARE, CONFIG_PATIENCE_MS, LOAD_PERIOD_LINKS, LOAD_PERIOD_MS, SLOW_PERIOD_MS } from './defaults.ts'
import type { ListedEntry } from './entryChoice.ts'
import { EntryConnection } from './entryConnection.ts'
import { EntryLinks } from './entryLinks.ts'
import { events } from './events.ts'
import { decodeDemand, decodeEntry, decodeOrder, encodeEnd, encodeLoad } from './messages.ts'
import { Owners } from './owners.ts'
import { watchRegularly } from './watchdog.ts'

/** Who the agent is. */
export interface AgentIdentity {
  agentId: string
  life: string
  failureDomain: string
}

/** Services of an agent. */
export interface AgentServices {
  timers: settings.Timers
  log: settings.Log
  driver: workers.WorkerDriver
  /** Newest configuration; the node has one of its own where nothing is given. */
  shelf?: ConfigShelf
}

/** One agent. */
export class AgentNode {
  readonly executor: workers.RunExecutor
  private readonly shelf: ConfigShelf
  private readonly owners: Owners
  private readonly links: EntryLinks
  private readonly pendingEnds = new Map<string, workers.TaskEnding[]>()
  /** Lives of entries that must be told of room that is kept for them. */
  private readonly owedRoom = new Set<string>()
  private readonly handles: settings.TimerHandle[] = []
  private configTakenAtMs = 0
  private isFlushScheduled = false
  private loadTimer: settings.TimerHandle | undefined
  /** Rises with each change of the load. */
  private loadNumber = 0

  constructor (readonly identity: AgentIdentity, private readonly services: AgentServices) {
    this.shelf = services.shelf ?? new ConfigShelf()
    this.shelf.subscribe(() => { this.configTakenAtMs = services.timers.nowMs() })
    this.owners = new Owners(services.timers)
    this.links = new EntryLinks({
      ...identity,
      timers: services.timers,
      dial: address => this.dial(address),
      isHolding: ({ life }) => this.pendingEnds.has(life) || this.executor.heldBy(life).length > 0,
      onLeavingChanged: connection => { this.sendReport(connection, {}) }
    })
    this.executor = new workers.RunExecutor(services, {
      onEnd: ending => { this.report(ending) },
      onLoad: () => { this.planLoad() },
      onRoom: owners => { this.tellRoom(owners) }
    })
    this.handles.push(
      watchRegularly(services.timers, () => { this.watch() }),
      services.timers.every(SLOW_PERIOD_MS, () => { this.reportSlow() })
    )
  }

  /** True while some entry is linked. */
  get isLinked (): boolean {
    return this.links.open.length > 0
  }

  /** Takes a list of entries. */
  learnEntries (entries: readonly ListedEntry[]): void {
    this.links.learn(entries.filter(entry => {
      if (isDialable(entry)) return true
      this.services.log.event(events.AddressRefused, { address: entry.address.slice(0, 80) })
      return false
    }))
  }

  /** Names addresses to try while no entry is linked. */
  setSeeds (addresses: readonly string[]): void {
    this.links.setSeeds(addresses)
  }

  /** Takes no new tasks, and resolves when those that run have ended and their ends are sent. */
  async drain (): Promise<void> {
    await this.executor.drain()
    this.flushEnds()
  }

  /** Closes all links. */
  async stop (): Promise<void> {
    for (const handle of this.handles) handle.cancel()
    this.loadTimer?.cancel()
    this.links.close()
    await this.executor.close()
  }

  private dial (address: string): EntryConnection {
    const connection = new EntryConnection(address, {
      createGreeting: () => this.createGreeting(),
      onOpen: (opened, greeting) => { this.greet(opened, greeting) },
      onMessage: (from, message) => { this.receive(from, message) },
      isBusy: of => this.executor.heldBy(of.life).length > 0,
      createBeat: of => ({ configVersion: this.shelf.version, load: of.toldLoadNumber < this.loadNumber ? this.createLoad(of) : undefined })
    }, this.services)
    connection.run()
    return connection
  }

  private createGreeting (): protocol.runs.IAgentGreeting {
    return { ...this.identity, load: encodeLoad(this.executor.load, 0), configVersion: this.shelf.version }
  }

  private greet (connection: EntryConnection, greeting: protocol.runs.IEntryGreeting): void {
    const { life } = connection
    this.owners.noteHeard(life)
    this.links.noteOpen(connection)
    this.pendingEnds.delete(life)
    this.sendReport(connection, { ends: this.owners.keptEnds(life).map(encodeEnd) })
    connection.send({ held: { runs: this.executor.heldBy(life).map(order => ({ ...order.task, attempt: order.attempt })) } })
    this.takeList(greeting.entries ?? [])
  }

  private receive (connection: EntryConnection, message: protocol.runs.IFromEntry): void {
    this.owners.noteHeard(connection.life)
    if (message.orders != null) this.takeOrders(connection, message.orders.orders ?? [])
    else if (message.stop != null) this.takeStop(connection, message.stop)
    else if (message.demand != null) this.executor.takeDemand(connection.life, decodeDemand(message.demand, this.services.timers.nowMs()))
    else if (message.config != null) this.shelf.offer(decodeCopy(message.config))
    else if (message.entries != null) this.takeList(message.entries.entries ?? [])
    else if (message.beat != null) this.shareConfig(connection, message.beat.configVersion ?? 0)
  }

  private takeOrders (connection: EntryConnection, orders: readonly protocol.runs.IRunOrder[]): void {
    const age = new workers.Age(this.services.timers)
    for (const message of orders) {
      for (const order of decodeOrder(message, connection.life, age)) {
        connection.received++
        this.executor.submit(order)
      }
    }
  }

  private takeStop (connection: EntryConnection, stop: protocol.runs.IStopRuns): void {
    const indexes = new Set(stop.indexes ?? [])
    const isMeant = (order: workers.TaskOrder): boolean => order.task.jobId === stop.jobId && (indexes.size === 0 || (order.task.step === stop.step && indexes.has(order.task.index)))
    this.executor.stop(connection.life, isMeant, 'stopped by the entry')
  }

  private takeList (entries: readonly protocol.runs.IEntryAddress[]): void {
    this.learnEntries(entries.map(decodeEntry))
  }

  /** Sends the newest configuration once to an entry that still has an older one when it has had time to read it for itself. */
  private shareConfig (connection: EntryConnection, version: number): void {
    if (version >= this.shelf.version || connection.sentConfigVersion === this.shelf.version) return
    if (this.services.timers.nowMs() - Math.max(this.configTakenAtMs, connection.openedAtMs) < CONFIG_PATIENCE_MS) return
    connection.sentConfigVersion = this.shelf.version
    connection.send({ config: this.shelf.message })
  }

  private watch (): void {
    for (const connection of this.links.all) connection.keepAlive()
    this.links.review()
    this.dropSilentOwners()
  }

  private dropSilentOwners (): void {
    for (const life of this.owners.review()) {
      const held = this.executor.heldBy(life).length
      if (held === 0) continue
      this.services.log.event(events.OwnerSilent, { life, held })
      this.executor.stop(life, () => true, 'entry is silent')
    }
  }

  private report (ending: workers.TaskEnding): void {
    const { owner } = ending.order
    this.owners.keep(ending)
    const pending = this.pendingEnds.get(owner)
    if (pending === undefined) this.pendingEnds.set(owner, [ending])
    else pending.push(ending)
    this.planFlush()
  }

  private planFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    setImmediate(() => { this.flushEnds() })
  }

  /** Sends ends at once to the entries that wait for them, and the load to those for which room is kept. Ends for a link that is away follow when it is back. */
  private flushEnds (): void {
    this.isFlushScheduled = false
    for (const connection of this.links.open) {
      const ends = this.pendingEnds.get(connection.life)
      if (ends !== undefined || this.owedRoom.has(connection.life)) this.sendReport(connection, { ends: ends?.map(encodeEnd) })
    }
    this.pendingEnds.clear()
    this.owedRoom.clear()
  }

  /** Tells all entries the load soon, once for all changes of the period. */
  private planLoad (): void {
    this.loadNumber++
    this.loadTimer ??= this.services.timers.after(this.loadPeriodMs, () => {
      this.loadTimer = undefined
      for (const connection of this.links.open) {
        if (connection.toldLoadNumber < this.loadNumber && this.isWorthTelling(connection)) this.sendReport(connection, {})
      }
    })
  }

  /** Tells entries at once of room that is kept for them, with the ends of this turn. */
  private tellRoom (owners: readonly string[]): void {
    for (const owner of owners) this.owedRoom.add(owner)
    this.planFlush()
  }

  private get loadPeriodMs (): number {
    const { free, total } = this.executor.load
    const periodMs = free.cpuMilli >= total.cpuMilli * CALM_FREE_SHARE ? CALM_LOAD_PERIOD_MS : LOAD_PERIOD_MS
    return periodMs * Math.max(1, this.links.open.length / LOAD_PERIOD_LINKS)
  }

  private reportSlow (): void {
    const slow = new Map<string, protocol.runs.ISlowRun[]>()
    for (const run of this.executor.runs) {
      if (!workers.isSlow(run)) continue
      const ofOwner = slow.get(run.order.owner) ?? []
      ofOwner.push({ ...run.order.task, ...workers.measureProgress(run) })
      slow.set(run.order.owner, ofOwner)
    }
    if (slow.size === 0) return
    for (const connection of this.links.open) {
      const ofEntry = slow.get(connection.life)
      if (ofEntry !== undefined) this.sendReport(connection, { slow: ofEntry })
    }
  }

  /** True unless the entry knows well enough that the worker has much room; the next beat tells the rest. */
  private isWorthTelling ({ toldLoad }: EntryConnection): boolean {
    const { load } = this.executor
    if (toldLoad === undefined || toldLoad.isPresent !== load.isPresent || toldLoad.isDraining !== load.isDraining) return true
    const { cpuMilli } = load.total
    const isCalm = Math.min(load.free.cpuMilli, toldLoad.free.cpuMilli) >= cpuMilli * CALM_FREE_SHARE
    return !isCalm || Math.abs(load.free.cpuMilli - toldLoad.free.cpuMilli) >= cpuMilli * CALM_STEP_SHARE
  }

  private sendReport (connection: EntryConnection, report: protocol.runs.IRunReport): void {
    connection.send({ report: { ...report, load: this.createLoad(connection) } })
  }

  /** Creates the load for an entry, and notes that it is told. */
  private createLoad (connection: EntryConnection): protocol.runs.IWorkerLoad {
    const load = this.executor.loadFor(connection.life)
    const told = { ...load, isDraining: load.isDraining || connection.leavingSinceMs !== undefined }
    connection.toldLoadNumber = this.loadNumber
    connection.toldLoad = told
    return encodeLoad(told, connection.received)
  }
}

/** Links go to IP numbers and ports only. */
function isDialable ({ address }: ListedEntry): boolean {
  const { host, port } = runtime.parseAddress(address)
  return net.isIP(host) !== 0 && port > 0 && port < 65_536
}
