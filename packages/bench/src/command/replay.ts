/** Implements `egretvalve replay`, which replays a trace and checks its expected answers. */
import * as settings from '@egretvalve/settings'
import { runPolicy } from '../comparison.ts'
import { listMismatches } from '../expectations.ts'
import type { Mismatch } from '../expectations.ts'
import { PolicyName } from '../record.ts'
import type { TraceJob } from '../trace.ts'
import { CommandExit, createFactory, createTracePlan, formatJson, readTrace, resolveCommand, resolveFleet, writeOutput } from './common.ts'
import type { CommandEnvironment, CommandStreams } from './common.ts'
import { replayDefinition } from './loadSettings.ts'
import type { ReplaySettings } from './loadSettings.ts'

/** Summary for the command overview. */
export const REPLAY_SUMMARY = 'Replays a trace and checks each answer against the outcome that the trace states.'

/** Runs the command and returns its exit code. */
export async function runReplay (args: readonly string[], environment: CommandEnvironment, streams: CommandStreams): Promise<number> {
  const values = resolveCommand({ name: 'replay', summary: REPLAY_SUMMARY, definition: replayDefinition }, args, environment, streams)
  if (values.err) return values.val
  const jobs = await readTrace(values.val.trace)
  if (jobs.err) {
    streams.error(jobs.val.describe())
    return CommandExit.Usage
  }
  const mismatches = await replay(jobs.val, values.val)
  for (const mismatch of mismatches) streams.error(describeMismatch(mismatch))
  streams.out(`${jobs.val.length} submissions replayed, ${mismatches.length} outcomes differ`)
  return mismatches.length === 0 ? CommandExit.Success : CommandExit.Failure
}

async function replay (jobs: TraceJob[], values: ReplaySettings): Promise<Mismatch[]> {
  const timers = new settings.TimerService()
  const plan = createTracePlan(values.trace, jobs, resolveFleet(values))
  const record = await runPolicy(plan, PolicyName.Egretvalve, createFactory(values, timers), timers)
  await writeOutput(values.json, formatJson(record.outcomes))
  return listMismatches(record)
}

/** Formats a mismatch for the terminal. */
export function describeMismatch (mismatch: Mismatch): string {
  return `${mismatch.subject}: got ${mismatch.actual}; expected ${mismatch.expected}`
}
