/** One random schedule of submissions, resubmissions and faults, determined by a seed. */
import type { SimEntry } from './simEntry.ts'
import { EPOCH_MS } from './simTimers.ts'
import { SimWorld } from './simWorld.ts'
import type { Mutation } from './simWorld.ts'
import type { AnswerCounts, Violation } from './simOracle.ts'

/** Result of one schedule. */
export interface ScheduleOutcome {
  seed: number
  violations: Violation[]
  answers: AnswerCounts
  starts: number
  calls: number
}

/** Faults that a schedule can cause. */
enum Fault {
  Pause,
  CutStore,
  /** Disconnects every member from the store; then an entry joins that can reach the store but not every agent. */
  CutMembers,
  CutPeers,
  CutAgent,
  StoreDown,
  StoreLosesAnswers,
  Crash,
  Leave,
  Join,
  RestartAgent
}

const FAULTS: readonly Fault[] = [
  Fault.Pause, Fault.CutStore, Fault.CutMembers, Fault.CutPeers, Fault.CutAgent, Fault.StoreDown, Fault.StoreLosesAnswers,
  Fault.Crash, Fault.Leave, Fault.Leave, Fault.Join, Fault.Join, Fault.RestartAgent
]
const JOIN_MS = 1_000
const END_MS = 18_000
const MAX_FAULTS = 6
const KEY_COUNT = 5
const MAX_CALLS = 14
const MAX_FAULT_MS = 12_000
const UNDATED_SHARE = 0.3
const MAX_JOB_TASKS = 2

interface SimSubmission {
  submissionId: string
  taskCount: number
  createdAtMs: number
}

/** Runs the schedule of a seed. */
export async function runSchedule (seed: number, mutation: Mutation): Promise<ScheduleOutcome> {
  const world = new SimWorld(seed, mutation)
  const { random, time } = world
  const entryCount = 1 + random.below(3)
  for (let index = 0; index < entryCount; index++) time.schedule(index * 100, () => { world.addEntry() })
  const submissions = Array.from({ length: KEY_COUNT }, (_, index) => createSubmission(world, index))
  const calls = 1 + random.below(MAX_CALLS)
  for (let index = 0; index < calls; index++) scheduleCall(world, random.pick(submissions))
  const faults = random.below(MAX_FAULTS + 1)
  for (let index = 0; index < faults; index++) time.schedule(JOIN_MS + random.below(END_MS - JOIN_MS), () => { injectFault(world, random.pick(FAULTS)) })
  await time.runUntil(END_MS)
  const outcome = { seed, violations: world.oracle.violations, answers: world.oracle.answers, starts: world.oracle.starts, calls }
  world.stop()
  return outcome
}

/** Dated ids have the form of a version 7 UUID. The date may be off, as by a caller's wrong clock. */
function createSubmission (world: SimWorld, index: number): SimSubmission {
  const { random } = world
  const createdAtMs = JOIN_MS + random.below(END_MS - JOIN_MS)
  const taskCount = 1 + random.below(MAX_JOB_TASKS)
  if (random.chance(UNDATED_SHARE)) return { submissionId: `order-${index}`, taskCount, createdAtMs }
  const datedMs = EPOCH_MS + createdAtMs + random.pick([0, 0, 0, -200, 200, 600, 1_500, -1_500])
  const digits = datedMs.toString(16).padStart(12, '0')
  return { submissionId: `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-00000000000${index}`, taskCount, createdAtMs }
}

function scheduleCall (world: SimWorld, submission: SimSubmission): void {
  const { random, time } = world
  const atMs = submission.createdAtMs + random.below(random.pick([50, 500, END_MS - submission.createdAtMs]))
  time.schedule(atMs, () => {
    const entries = runningEntries(world)
    if (entries.length > 0) world.call(random.pick(entries), { team: 't', submissionId: submission.submissionId }, submission.taskCount)
  })
}

function runningEntries (world: SimWorld): SimEntry[] {
  return [...world.entries.values()].filter(entry => !entry.clock.isStopped)
}

function injectFault (world: SimWorld, fault: Fault): void {
  const { random, network, time } = world
  const entries = runningEntries(world)
  if (entries.length === 0) {
    world.addEntry()
    return
  }
  const entry = random.pick(entries)
  const healInMs = random.below(MAX_FAULT_MS)
  switch (fault) {
    case Fault.Pause:
      entry.clock.pause()
      time.schedule(healInMs, () => { entry.clock.resume() })
      return
    case Fault.CutStore:
      network.cut(entry.incarnation, 'store')
      time.schedule(healInMs, () => { network.heal() })
      return
    case Fault.CutMembers:
      for (const member of entries) network.cut(member.incarnation, 'store')
      cutBothWays(world, world.addEntry().incarnation, world.pickAgent().agentId)
      time.schedule(healInMs, () => { network.heal() })
      return
    case Fault.CutPeers:
      cutBetween(world, entry.incarnation, random.pick(entries).incarnation)
      time.schedule(healInMs, () => { network.heal() })
      return
    case Fault.CutAgent:
      cutBetween(world, entry.incarnation, world.pickAgent().agentId)
      time.schedule(healInMs, () => { network.heal() })
      return
    case Fault.StoreDown:
      world.storeState.isDown = true
      time.schedule(healInMs, () => { world.storeState.isDown = false })
      return
    case Fault.StoreLosesAnswers:
      world.storeState.losesAnswers = true
      time.schedule(healInMs, () => { world.storeState.losesAnswers = false })
      return
    case Fault.Crash:
      entry.clock.isStopped = true
      return
    case Fault.Leave:
      entry.clock.run(() => { entry.ownership.leave().catch(() => {}) })
      return
    case Fault.Join:
      world.addEntry()
      return
    case Fault.RestartAgent:
      world.restartAgent(world.pickAgent().agentId)
  }
}

function cutBothWays (world: SimWorld, one: string, other: string): void {
  world.network.cut(one, other)
  world.network.cut(other, one)
}

function cutBetween (world: SimWorld, one: string, other: string): void {
  const direction = world.random.below(3)
  if (direction !== 1) world.network.cut(one, other)
  if (direction !== 0) world.network.cut(other, one)
}
