/** Seeded load profiles. */
import * as protocol from '@egretvalve/protocol'
import { ProfileName, ServerChange } from './plan.ts'
import type { FleetSize, LoadPlan, ServerEvent, TimeSpan } from './plan.ts'
import * as defaults from './profileDefaults.ts'
import { Random } from './random.ts'
import { TraceClass, totalRunMs } from './trace.ts'
import type { TraceJob, TraceTask } from './trace.ts'

/** Parameters of a generated plan. */
export interface ProfileOptions {
  profile: ProfileName
  seed: number
  fleet: FleetSize
  durationMs: number
  teams: number
}

type JobShape = Omit<TraceJob, 'atMs' | 'team' | 'submissionId'>

/** Creates the plan of a profile. The same options give the same plan. */
export function createPlan (options: ProfileOptions): LoadPlan {
  const random = new Random(options.seed)
  const loadPeak = options.profile === ProfileName.Market ? createLoadPeak(options.durationMs) : undefined
  const jobs = createJobs(options, random, loadPeak)
  return {
    name: options.profile,
    seed: options.seed,
    fleet: options.fleet,
    jobs,
    events: createEvents(options),
    loadPeak,
    longRunMs: options.profile === ProfileName.MixedLong ? defaults.LONG_RUN_BOUND_MS : undefined,
    durationMs: options.durationMs
  }
}

function createLoadPeak (durationMs: number): TimeSpan {
  const lengthMs = Math.min(defaults.PEAK_DURATION_MS, durationMs / 2)
  const fromMs = (durationMs - lengthMs) / 3
  return { fromMs, toMs: fromMs + lengthMs }
}

function createJobs (options: ProfileOptions, random: Random, loadPeak: TimeSpan | undefined): TraceJob[] {
  const meanMs = resolveMeanWorkMs(options.profile)
  const capacity = options.fleet.servers * options.fleet.slots
  const jobs: TraceJob[] = []
  let atMs = 0
  while (atMs < options.durationMs) {
    const load = resolveLoad(options.profile, atMs, loadPeak)
    atMs += random.exponential(meanMs / (capacity * load))
    const shape = createJobShape(options.profile, random)
    const job = { atMs, team: `team-${random.whole(1, options.teams)}`, submissionId: `${options.profile}-${jobs.length}`, ...shape }
    if (atMs < options.durationMs) jobs.push(job)
  }
  return adjustJobs(options, random, jobs)
}

const MEAN_SAMPLE_COUNT = 20_000

/** Estimates the mean work per job of a profile, in milliseconds, from a sample with a fixed seed. */
function resolveMeanWorkMs (profile: ProfileName): number {
  const random = new Random(1)
  let sumMs = 0
  for (let sample = 0; sample < MEAN_SAMPLE_COUNT; sample++) sumMs += totalRunMs({ atMs: 0, team: '', submissionId: '', ...createJobShape(profile, random) })
  return sumMs / MEAN_SAMPLE_COUNT
}

function resolveLoad (profile: ProfileName, atMs: number, loadPeak: TimeSpan | undefined): number {
  if (profile === ProfileName.CancelWave) return defaults.CANCEL_WAVE_LOAD
  if (loadPeak === undefined) return defaults.STEADY_LOAD
  const isPeak = atMs >= loadPeak.fromMs && atMs < loadPeak.toMs
  return isPeak ? defaults.PEAK_LOAD : defaults.MARKET_BASE_LOAD
}

function createJobShape (profile: ProfileName, random: Random): JobShape {
  switch (profile) {
    case ProfileName.Market: return createMarketShape(random)
    case ProfileName.MixedLong: return createMixedShape(random)
    case ProfileName.CancelWave: return createShopShape(random, defaults.CANCEL_WAVE_JOB_TASKS)
    case ProfileName.Stragglers: return mapTasks(createShopShape(random), task => createStraggler(task, random))
    case ProfileName.WrongSizes: return mapTasks(createShopShape(random), task => misdeclareTask(task, random))
    case ProfileName.BadServers: return { ...createShopShape(random, 1), repeatable: true }
    case ProfileName.Shop:
    case ProfileName.Resubmit:
    case ProfileName.Drain: return createShopShape(random)
    default: return protocol.assertNever(profile)
  }
}

function createShopShape (random: Random, largestTasks = defaults.LARGEST_SHOP_JOB_TASKS): JobShape {
  const taskCount = random.chance(defaults.SINGLE_TASK_SHARE) ? 1 : random.whole(1, largestTasks)
  const tasks = Array.from({ length: taskCount }, () => createTask(drawRunMs(random)))
  const repeatable = taskCount === 1 && random.chance(defaults.REPEATABLE_SHARE)
  return { class: TraceClass.Ordinary, repeatable, deadlineMs: defaults.RELAXED_DEADLINE_MS, tasks }
}

function createMarketShape (random: Random): JobShape {
  const isPressing = random.chance(defaults.MARKET_PRESSING_SHARE)
  const task = createTask(drawRunMs(random))
  const slackMs = isPressing ? defaults.PRESSING_SLACK_MS : defaults.ORDINARY_SLACK_MS
  return {
    class: isPressing ? TraceClass.Pressing : TraceClass.Ordinary,
    repeatable: isPressing,
    deadlineMs: task.runMs + slackMs,
    tasks: [task]
  }
}

function createMixedShape (random: Random): JobShape {
  const isLong = random.chance(defaults.LONG_SHARE)
  const runMs = isLong
    ? random.between(defaults.LONG_RUN_FROM_MS, defaults.LONG_RUN_TO_MS)
    : random.between(defaults.SHORT_RUN_FROM_MS, defaults.SHORT_RUN_TO_MS)
  return { class: TraceClass.Ordinary, repeatable: true, deadlineMs: defaults.RELAXED_DEADLINE_MS, tasks: [createTask(runMs)] }
}

function drawRunMs (random: Random): number {
  const runMs = random.logNormal(defaults.MEDIAN_RUN_MS, defaults.RUN_SIGMA)
  return Math.min(Math.max(runMs, defaults.SHORTEST_RUN_MS), defaults.LONGEST_COMMON_RUN_MS)
}

function createTask (runMs: number): TraceTask {
  const rounded = Math.round(runMs)
  return { runMs: rounded, declaredMs: rounded }
}

function mapTasks (shape: JobShape, map: (task: TraceTask) => TraceTask): JobShape {
  return { ...shape, tasks: shape.tasks.map(map) }
}

function createStraggler (task: TraceTask, random: Random): TraceTask {
  if (!random.chance(defaults.STRAGGLER_SHARE)) return task
  return { ...task, runMs: task.runMs * defaults.STRAGGLER_FACTOR }
}

function misdeclareTask (task: TraceTask, random: Random): TraceTask {
  if (random.chance(defaults.UNDECLARED_SHARE)) return { ...task, declaredMs: 0 }
  return { ...task, declaredMs: Math.round(task.runMs * random.logNormal(1, defaults.WRONG_SIZE_SIGMA)) }
}

function adjustJobs (options: ProfileOptions, random: Random, jobs: TraceJob[]): TraceJob[] {
  if (options.profile === ProfileName.Resubmit) return addResubmissions(random, jobs)
  if (options.profile === ProfileName.CancelWave) return addCancellations(random, jobs, options.durationMs / 2)
  return jobs
}

function addResubmissions (random: Random, jobs: TraceJob[]): TraceJob[] {
  const resubmissions = jobs
    .filter(() => random.chance(defaults.RESUBMIT_SHARE))
    .map(job => ({ ...job, atMs: job.atMs + random.between(defaults.RESUBMIT_FROM_MS, defaults.RESUBMIT_TO_MS) }))
  return [...jobs, ...resubmissions].sort((a, b) => a.atMs - b.atMs)
}

/** Cancels a share of the jobs submitted before the wave, all at the same time. */
function addCancellations (random: Random, jobs: TraceJob[], waveAtMs: number): TraceJob[] {
  return jobs.map(job => {
    if (job.atMs >= waveAtMs || !random.chance(defaults.CANCEL_SHARE)) return job
    return { ...job, cancelAfterMs: waveAtMs - job.atMs }
  })
}

function createEvents (options: ProfileOptions): ServerEvent[] {
  const { profile, durationMs } = options
  if (profile === ProfileName.BadServers) return changeServers(defaults.BAD_SERVER_COUNT, 0, ServerChange.Fail)
  if (profile !== ProfileName.Drain) return []
  return [
    ...changeServers(defaults.DRAINED_SERVER_COUNT, durationMs / 3, ServerChange.Leave),
    ...changeServers(defaults.DRAINED_SERVER_COUNT, 2 * durationMs / 3, ServerChange.Return)
  ]
}

function changeServers (count: number, atMs: number, change: ServerChange): ServerEvent[] {
  return Array.from({ length: count }, (_, server) => ({ atMs, server, change }))
}
