/** Plays entries that claim jobs at each other, over drawn delays, cuts, resets, pauses, restarts and changes of the fleet, and checks that one entry at a time runs each job. */
import * as prand from 'pure-rand'
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import { Channel, type Network, SimulatedProcess } from './claimNetwork.ts'

/** Deadline of a submission; its caller leaves by then. */
const DEADLINE_MS = 1_500
/** Owner lease with the stop of the runs: runs of a paused or killed entry go on for as long. */
const OWNER_LEASE_MS = 1_250
/** Time after which a caller that has left submits again. */
const RESUBMIT_MS = 1_300
const MAX_WORK_MS = 2_000
const MAX_STOP_MS = 60
/** Retention of outcomes at an entry. */
const OUTCOME_RETENTION_MS = 5_000
const LIST_PERIOD_MS = 2_000
const LIST_WAIT_MS = 2_000
const LINK_OPEN_MS = 300
const DIAL_TIMEOUT_MS = 2_000
const MIN_REDIAL_MS = 50
const MAX_REDIAL_MS = 1_000
/** Time after which an entry that is not in the list counts as gone if its link does not open again. */
const UNLISTED_RETENTION_MS = 2_000
const REGISTRATION_LEASE_MS = 6_000
/** Longest time from the start of a process until it is registered. */
const REGISTRATION_MS = 300
/** Time after a pause, cut or reset, and after a start or end of an entry, until the next fault. The table of docs/design/claims.md names two at once as what is left. */
const CALM_MS = 600
const CHANGE_CALM_MS = claims.YOUNG_MS + LIST_PERIOD_MS + 500
/** Longest time from the last submission until all runs have ended and all records have expired. */
const SETTLE_MS = 10_000
const STEP_MS = 1
/** Longest time from the end of a pause or cut until the links are open again. */
const MAX_REOPEN_MS = 2_000
/** Bound for the grant to a single claimant: another registrar's silence, a link that reopens, and messages. */
const GRANT_BOUND_MS = claims.ANSWER_TIMEOUT_MS + 3 * claims.CHECK_PERIOD_MS + LINK_OPEN_MS

/** What is drawn in a play. */
export interface ClaimWorldOptions {
  seed: number
  durationMs: number
  /** Longest time for which a message is under way, in milliseconds. */
  maxPathMs: number
  /** Number of entries at the start. */
  entries: number
}

interface Run {
  readonly entry: WorldEntry
  readonly process: SimulatedProcess
  endsAtMs: number
  hasEnded: boolean
  /** True if it was stopped by its entry, or with the owner lease. */
  isStopped: boolean
}

interface LocalJob {
  readonly deadlineAtMs: number
  run: Run | undefined
  isOpen: boolean
  isClaimed: boolean
  hasSucceeded: boolean
}

interface RegistrarSide {
  readonly entry: WorldEntry
  readonly process: SimulatedProcess
  readonly claimant: claims.Claimant
}

/** A connection from a claimant to a registrar. */
interface Link {
  readonly claimantProcess: SimulatedProcess
  readonly registrarId: string
  readonly toRegistrar: Channel
  readonly toClaimant: Channel
  registrar: RegistrarSide | undefined
  isClosed: boolean
  /** True if no process accepted the connection. */
  isRefused: boolean
  /** Called at the claimant, once. */
  onClosed: () => void
}

/** An entry that another one links to. */
interface Dialed {
  link: Link | undefined
  isListed: boolean
  lastOpenAtMs: number
}

interface World {
  network: Network
  random: () => number
  violations: string[]
  entries: Map<string, WorldEntry>
  links: Set<Link>
  /** Entries in the store's list, with the time at which their lease ends. */
  registered: Map<string, number>
  runs: Map<string, Set<Run>>
  incarnations: number
  /** Times in which two entries were cut off from each other. */
  cuts: Array<{ entryIds: readonly string[], fromMs: number, toMs: number }>
}

/** An entry, over the incarnations of its process. */
class WorldEntry {
  process!: SimulatedProcess
  table!: claims.ClaimTable
  jobClaims!: claims.JobClaims
  incarnation = ''
  startedAtMs = 0
  firstStartedAtMs = Number.POSITIVE_INFINITY
  /** Times for which the process was paused, and at which it was killed. */
  readonly disturbances: Array<{ fromMs: number, toMs: number }> = []
  isPresent = false
  readonly grants = new Map<string, number>()
  private readonly dialed = new Map<string, Dialed>()
  private readonly newest = new Map<string, claims.Claimant>()
  private readonly jobs = new Map<string, LocalJob>()
  private isStarted = false

  constructor (readonly entryId: string, private readonly world: World) {}

  start (): void {
    const { clock } = this.world.network
    this.incarnation = `${this.entryId} ${this.world.incarnations++}`
    this.process = new SimulatedProcess(clock, 0.99 + 0.02 * this.world.random())
    this.startedAtMs = clock.nowMs()
    this.firstStartedAtMs = Math.min(this.firstStartedAtMs, this.startedAtMs)
    this.isPresent = true
    this.isStarted = false
    for (const known of [this.dialed, this.newest, this.jobs, this.grants]) known.clear()
    this.table = new claims.ClaimTable(this.process)
    this.jobClaims = new claims.JobClaims(this.entryId, { timers: this.process, log: settings.createSilentLog() }, {
      onGranted: jobId => { this.handleGranted(jobId) },
      onHeld: () => {},
      onSucceeded: jobId => { this.finish(jobId, true) },
      onLost: jobId => { this.finish(jobId, false) }
    })
    this.process.after(LIST_WAIT_MS, () => { this.startClaims() })
    this.process.after(this.world.random() * REGISTRATION_MS, () => { this.register() })
    this.process.after(this.world.random() * 500, () => { this.readList() })
  }

  kill (): void {
    const nowMs = this.world.network.clock.nowMs()
    this.disturbances.push({ fromMs: nowMs, toMs: nowMs })
    this.process.isDead = true
    this.isPresent = false
    this.limitRuns()
    for (const link of this.world.links) {
      if (link.claimantProcess === this.process) endAtRegistrar(link)
      else if (link.registrarId === this.entryId) link.toClaimant.send(() => { closeAtClaimant(this.world, link) })
    }
  }

  pause (durationMs: number): void {
    const { clock } = this.world.network
    const { process } = this
    this.disturbances.push({ fromMs: clock.nowMs(), toMs: clock.nowMs() + durationMs })
    process.isPaused = true
    clock.after(durationMs, () => { process.resume() })
    this.limitRuns()
  }

  /** Submits a job of a caller, who leaves after `patienceMs` unless `isUnattended`. */
  submit (jobId: string, patienceMs: number, isUnattended: boolean): void {
    this.process.receive(() => {
      const known = this.jobs.get(jobId)
      if (known !== undefined && (known.isOpen || known.hasSucceeded)) return
      const job: LocalJob = { deadlineAtMs: this.process.nowMs() + DEADLINE_MS, run: known?.run, isOpen: true, isClaimed: false, hasSucceeded: false }
      this.jobs.set(jobId, job)
      if (this.jobClaims.claim(jobId, DEADLINE_MS + OWNER_LEASE_MS)) this.handleGranted(jobId)
      this.process.after(DEADLINE_MS, () => { if (this.jobs.get(jobId) === job) this.finish(jobId, false) })
      if (!isUnattended) this.process.after(patienceMs, () => { if (this.jobs.get(jobId) === job) this.finish(jobId, false) })
    })
  }

  private handleGranted (jobId: string): void {
    const job = this.jobs.get(jobId)
    if (job?.isOpen !== true) return
    job.isClaimed = true
    if (!this.grants.has(jobId)) this.grants.set(jobId, this.world.network.clock.nowMs())
    // A task that is being stopped starts again once its end is known.
    this.place(jobId, job)
  }

  private place (jobId: string, job: LocalJob): void {
    if (job.isClaimed && job.run === undefined && this.process.nowMs() < job.deadlineAtMs) this.startRun(jobId, job)
  }

  private startRun (jobId: string, job: LocalJob): void {
    const { network: { clock }, random, runs, violations } = this.world
    const others = [...runs.get(jobId) ?? []].filter(each => !each.hasEnded && each.entry !== this)
    if (others.length > 0) violations.push(`job ${jobId} starts at ${this.incarnation} at ${clock.nowMs()} while it runs at ${others.map(({ entry }) => entry.entryId).join()}`)
    const run: Run = { entry: this, process: this.process, endsAtMs: clock.nowMs() + 5 + random() * (random() < 0.5 ? 200 : MAX_WORK_MS), hasEnded: false, isStopped: false }
    job.run = run
    if (!runs.has(jobId)) runs.set(jobId, new Set())
    runs.get(jobId)!.add(run)
    this.watch(jobId, run)
  }

  /** Ends a run at its time, which may come nearer, and tells its entry some time later. */
  private watch (jobId: string, run: Run): void {
    const { network, runs, random } = this.world
    network.clock.after(Math.max(0, run.endsAtMs - network.clock.nowMs()), () => {
      if (run.hasEnded || network.clock.nowMs() < run.endsAtMs) return
      run.hasEnded = true
      runs.get(jobId)!.delete(run)
      // The end of a run that was stopped may be known only once the link to its agent is open again.
      const unknownMs = network.drawPathMs() + (run.isStopped && random() < 0.3 ? random() * OWNER_LEASE_MS : 0)
      network.clock.after(unknownMs, () => { run.process.receive(() => { this.handleRunEnded(jobId, run) }) })
    })
  }

  private handleRunEnded (jobId: string, run: Run): void {
    const job = this.jobs.get(jobId)
    if (job?.run !== run) return
    job.run = undefined
    if (!job.isOpen) this.release(jobId, job)
    else if (run.isStopped) this.place(jobId, job)
    else this.finish(jobId, true)
  }

  private limitRuns (): void {
    const { network: { clock }, runs, random } = this.world
    const untilMs = clock.nowMs() + (0.3 + 0.7 * random()) * OWNER_LEASE_MS
    for (const [jobId, each] of runs) {
      for (const run of each) {
        if (run.process !== this.process || run.endsAtMs <= untilMs) continue
        run.endsAtMs = untilMs
        run.isStopped = true
        this.watch(jobId, run)
      }
    }
  }

  private finish (jobId: string, hasSucceeded: boolean): void {
    const job = this.jobs.get(jobId)
    if (job?.isOpen !== true) return
    job.isOpen = false
    job.hasSucceeded = hasSucceeded
    const { network: { clock }, random } = this.world
    const { run } = job
    if (run !== undefined) {
      run.endsAtMs = Math.min(run.endsAtMs, clock.nowMs() + random() * MAX_STOP_MS)
      run.isStopped = true
      this.watch(jobId, run)
    }
    this.release(jobId, job)
    this.process.after(OUTCOME_RETENTION_MS, () => { if (this.jobs.get(jobId) === job && job.run === undefined) this.jobs.delete(jobId) })
  }

  private release (jobId: string, job: LocalJob): void {
    if (job.run === undefined) this.jobClaims.release(jobId, job.hasSucceeded)
  }

  private register (): void {
    const { registered, network } = this.world
    registered.set(this.entryId, network.clock.nowMs() + REGISTRATION_LEASE_MS)
    this.process.after(REGISTRATION_LEASE_MS / 3, () => { this.register() })
  }

  private readList (): void {
    const { registered, network } = this.world
    const listed = [...registered].filter(([entryId, untilMs]) => entryId !== this.entryId && untilMs > network.clock.nowMs()).map(([entryId]) => entryId)
    for (const [entryId, each] of this.dialed) each.isListed = listed.includes(entryId)
    for (const entryId of listed) {
      if (this.dialed.has(entryId)) continue
      this.dial(entryId, true)
    }
    this.startClaims()
    this.process.after(LIST_PERIOD_MS, () => { this.readList() })
  }

  private startClaims (): void {
    if (this.isStarted) return
    this.isStarted = true
    const { entryId, incarnation } = this
    const self = { entryId, incarnation }
    const { table, jobClaims } = this
    jobClaims.handleOpened(entryId, { send: requests => { jobClaims.handleAnswers(entryId, table.apply(self, requests)) }, reset: () => {} }, this.upMs)
    jobClaims.start()
  }

  private get upMs (): number {
    return this.world.network.clock.nowMs() - this.startedAtMs
  }

  private dial (entryId: string, isListed: boolean): void {
    const entry: Dialed = { link: undefined, isListed, lastOpenAtMs: Number.NEGATIVE_INFINITY }
    this.dialed.set(entryId, entry)
    this.jobClaims.handleClosed(entryId, this.isStarted ? claims.LinkState.Absent : claims.LinkState.Reopening)
    this.connect(entryId, entry, MIN_REDIAL_MS)
  }

  private connect (entryId: string, dialed: Dialed, redialMs: number): void {
    const { process, jobClaims } = this
    const { network, links, random } = this.world
    let isOpen = false
    const link: Link = { claimantProcess: process, registrarId: entryId, toRegistrar: new Channel(network, `${this.entryId}>${entryId}`), toClaimant: new Channel(network, `${entryId}>${this.entryId}`), registrar: undefined, isClosed: false, isRefused: false, onClosed: () => {} }
    links.add(link)
    dialed.link = link
    const waits = [
      process.after(LINK_OPEN_MS, () => { if (!isOpen) jobClaims.handleClosed(entryId, claims.LinkState.Absent) }),
      process.after(DIAL_TIMEOUT_MS, () => { if (!isOpen) this.closeLink(link) })
    ]
    link.onClosed = () => {
      for (const wait of waits) wait.cancel()
      if (isOpen) dialed.lastOpenAtMs = process.nowMs()
      const hasLeft = !dialed.isListed && (link.isRefused || process.nowMs() - dialed.lastOpenAtMs > UNLISTED_RETENTION_MS)
      const state = isOpen && dialed.isListed ? claims.LinkState.Reopening : claims.LinkState.Absent
      jobClaims.handleClosed(entryId, link.isRefused || hasLeft ? claims.LinkState.Ended : state)
      if (hasLeft) this.dialed.delete(entryId)
      else if (isOpen) this.connect(entryId, dialed, MIN_REDIAL_MS)
      else process.after(redialMs * (0.5 + random()), () => { this.connect(entryId, dialed, Math.min(2 * redialMs, MAX_REDIAL_MS)) })
    }
    const { entryId: ownId, incarnation } = this
    link.toRegistrar.send(() => {
      const registrar = this.world.entries.get(entryId)!
      if (registrar.isPresent) registrar.process.receive(() => { registrar.accept(link, { entryId: ownId, incarnation }, upMs => { isOpen = true; jobClaims.handleOpened(entryId, this.createPort(link), upMs) }) })
      else {
        link.isRefused = true
        link.toClaimant.send(() => { closeAtClaimant(this.world, link) })
      }
    })
  }

  private createPort (link: Link): claims.RegistrarPort {
    return {
      send: requests => {
        if (link.isClosed || this.process.isDead) return
        link.toRegistrar.send(() => { link.registrar!.process.receive(() => { link.registrar!.entry.serve(link, requests) }) })
      },
      reset: () => { this.closeLink(link) }
    }
  }

  /** Closes a link at the claimant. */
  private closeLink (link: Link): void {
    if (link.isClosed) return
    endAtRegistrar(link)
    closeAtClaimant(this.world, link)
  }

  private accept (link: Link, claimant: claims.Claimant, onOpened: (upMs: number) => void): void {
    link.registrar = { entry: this, process: this.process, claimant }
    const earlier = this.newest.get(claimant.incarnation)
    if (earlier !== undefined) this.table.expireClaims(earlier)
    this.newest.set(claimant.incarnation, claimant)
    if (!this.dialed.has(claimant.entryId)) this.dial(claimant.entryId, false)
    const { upMs } = this
    link.toClaimant.send(() => { link.claimantProcess.receive(() => { if (!link.isClosed) onOpened(upMs) }) })
  }

  private serve (link: Link, requests: claims.ClaimRequests): void {
    const { process, claimant } = link.registrar!
    if (process !== this.process || this.newest.get(claimant.incarnation) !== claimant) return
    const answers = this.table.apply(claimant, requests)
    const entry = this.world.entries.get(claimant.entryId)!
    const { jobClaims } = entry
    if (answers.length > 0) link.toClaimant.send(() => { link.claimantProcess.receive(() => { if (!link.isClosed) jobClaims.handleAnswers(link.registrarId, answers) }) })
  }

  /** Handles the end of a claimant's link, as the registrar. */
  handleLinkEnded (claimant: claims.Claimant): void {
    if (this.newest.get(claimant.incarnation) === claimant) this.newest.delete(claimant.incarnation)
    this.table.expireClaims(claimant)
  }

  resetLinks (): void {
    for (const link of this.world.links) {
      if (link.claimantProcess !== this.process && link.registrarId !== this.entryId) continue
      link.toRegistrar.clear()
      link.toClaimant.clear()
      endAtRegistrar(link)
      link.toClaimant.send(() => { closeAtClaimant(this.world, link) })
    }
  }
}

function endAtRegistrar (link: Link): void {
  link.toRegistrar.send(() => {
    const { registrar } = link
    registrar?.process.receive(() => { registrar.entry.handleLinkEnded(registrar.claimant) })
  })
}

function closeAtClaimant (world: World, link: Link): void {
  if (link.isClosed) return
  link.claimantProcess.receive(() => {
    if (link.isClosed) return
    link.isClosed = true
    world.links.delete(link)
    link.onClosed()
  })
}

/** Returns true if each other entry was paused, killed, or cut off from this one within the time, so that claims wait for one of them. */
function isAlone ({ entries, cuts }: World, entry: WorldEntry, fromMs: number, toMs: number): boolean {
  const overlaps = (each: { fromMs: number, toMs: number }): boolean => each.fromMs < toMs && each.toMs > fromMs - MAX_REOPEN_MS
  const others = [...entries.values()].filter(other => other !== entry && other.firstStartedAtMs < toMs && (other.isPresent || other.disturbances.some(overlaps)))
  return others.length > 0 && others.every(other => other.disturbances.some(overlaps) || cuts.some(cut => cut.entryIds.includes(entry.entryId) && cut.entryIds.includes(other.entryId) && overlaps(cut)))
}

/** Plays one seed. Returns descriptions of violated guarantees. */
export async function playClaims (options: ClaimWorldOptions): Promise<string[]> {
  const generator = prand.xoroshiro128plus(options.seed)
  const random = (): number => prand.unsafeUniformIntDistribution(0, 1_000_000, generator) / 1_000_001
  const clock = new settings.FakeTimers()
  const network: Network = { clock, drawPathMs: () => 0.5 + random() * (random() < 0.1 ? options.maxPathMs : options.maxPathMs / 4), cut: new Set(), channels: new Set() }
  const world: World = { network, random, violations: [], entries: new Map(), links: new Set(), registered: new Map(), runs: new Map(), incarnations: 0, cuts: [] }
  await protocol.loadHash()
  for (let number = 0; number < options.entries; number++) world.entries.set(`entry-${number}`, new WorldEntry(`entry-${number}`, world))
  for (const entry of world.entries.values()) entry.start()

  const pick = <T>(from: readonly T[]): T => from[Math.floor(random() * from.length)]!
  const present = (): WorldEntry[] => [...world.entries.values()].filter(({ isPresent }) => isPresent)
  const passMs = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.advance(STEP_MS)
      await new Promise<void>(resolve => { setImmediate(resolve) })
    }
  }

  const single: Array<{ jobId: string, entry: WorldEntry, incarnation: string, atMs: number, patienceMs: number }> = []
  let jobs = 0
  const submitJob = (): void => {
    const jobId = `job-${jobs++}`
    const count = random() < 0.3 ? 1 : 1 + Math.floor(random() * 3)
    let atMs = 0
    for (let number = 0; number < count; number++) {
      const patienceMs = 50 + random() * (DEADLINE_MS - 50)
      const isUnattended = random() < 0.2
      const isLateTwin = random() < 0.3
      clock.after(atMs, () => {
        const entry = pick(present())
        // A caller is at one entry at a time; a late twin is read at any time and may not notice that its caller has left.
        entry.submit(jobId, patienceMs, isUnattended)
        if (count === 1) single.push({ jobId, entry, incarnation: entry.incarnation, atMs: clock.nowMs(), patienceMs: isUnattended ? DEADLINE_MS : patienceMs })
      })
      if (isLateTwin) {
        const twinAtMs = atMs + random() * 4_000
        clock.after(twinAtMs, () => { if (count > 1) pick(present()).submit(jobId, random() * 100, random() < 0.5) })
      }
      atMs += patienceMs + RESUBMIT_MS
    }
  }

  let left = 0
  const playFault = (): number => {
    const entries = present()
    const kind = pick(['pause', 'cut', 'reset', 'kill', 'join', 'leave'] as const)
    const entry = pick(entries)
    switch (kind) {
      case 'pause': {
        const durationMs = 20 + random() * (random() < 0.5 ? 400 : 4_000)
        entry.pause(durationMs)
        return durationMs + CALM_MS
      }
      case 'cut': {
        if (entries.length < 2) return 0
        const other = pick(entries.filter(each => each !== entry))
        const directions = pick([[`${entry.entryId}>${other.entryId}`], [`${entry.entryId}>${other.entryId}`, `${other.entryId}>${entry.entryId}`]])
        const durationMs = 20 + random() * (random() < 0.5 ? 400 : 5_000)
        for (const each of directions) network.cut.add(each)
        world.cuts.push({ entryIds: [entry.entryId, other.entryId], fromMs: clock.nowMs(), toMs: clock.nowMs() + durationMs + 200 })
        clock.after(durationMs, () => { network.cut.clear() })
        clock.after(durationMs + random() * 200, () => { for (const channel of network.channels) channel.pump() })
        return durationMs + CALM_MS
      }
      case 'reset':
        entry.resetLinks()
        return CALM_MS
      case 'kill': {
        // The last other registrar must stay; with two entries a restart is the loss of the only other one.
        if (entries.length < 2) return 0
        const downMs = 20 + random() * (random() < 0.5 ? 300 : 3_000)
        entry.kill()
        clock.after(downMs, () => { entry.start() })
        return downMs + CHANGE_CALM_MS
      }
      case 'join': {
        if (world.entries.size >= 5) return 0
        const added = new WorldEntry(`entry-${world.entries.size}`, world)
        world.entries.set(added.entryId, added)
        added.start()
        return CHANGE_CALM_MS
      }
      case 'leave':
        if (entries.length < 3 || left >= 2) return 0
        left++
        entry.kill()
        world.registered.delete(entry.entryId)
        return CHANGE_CALM_MS
      default: return protocol.assertNever(kind)
    }
  }

  const endsAtMs = CHANGE_CALM_MS + options.durationMs
  let nextFaultAtMs = CHANGE_CALM_MS
  while (clock.nowMs() < endsAtMs) {
    // Entries that start together have not all read each other's registration before, and are unseen by more than one.
    if (clock.nowMs() > LIST_PERIOD_MS + LINK_OPEN_MS + REGISTRATION_MS && random() < 0.02) submitJob()
    if (clock.nowMs() >= nextFaultAtMs) {
      const busyMs = playFault()
      nextFaultAtMs = clock.nowMs() + busyMs + random() * 1_000
    }
    await passMs(STEP_MS)
  }
  await passMs(Math.max(0, nextFaultAtMs - clock.nowMs()))
  // Callers submit up to three times, and late twins come after.
  await passMs(3 * (DEADLINE_MS + RESUBMIT_MS) + 4_000 + SETTLE_MS)

  const boundMs = GRANT_BOUND_MS + 6 * options.maxPathMs
  for (const { jobId, entry, incarnation, atMs, patienceMs } of single) {
    // Only of claimants that were not paused, killed or started around the time, and whose callers wait for long enough.
    const isHealthy = entry.incarnation === incarnation && entry.startedAtMs + LIST_WAIT_MS < atMs && entry.disturbances.every(({ fromMs, toMs }) => toMs < atMs - CALM_MS || fromMs > atMs + boundMs)
    if (isAlone(world, entry, atMs, atMs + boundMs)) continue
    const waitedMs = (entry.grants.get(jobId) ?? Infinity) - atMs
    if (isHealthy && patienceMs > boundMs && waitedMs > boundMs) world.violations.push(`job ${jobId} at ${entry.entryId} at ${Math.round(atMs)} was granted after ${Math.round(waitedMs)} ms`)
  }
  for (const entry of present()) {
    if (entry.jobClaims.size > 0) world.violations.push(`${entry.entryId} still claims ${entry.jobClaims.size} jobs`)
    if (entry.table.size > 0) world.violations.push(`${entry.entryId} still records ${entry.table.size} jobs`)
  }
  return world.violations
}
