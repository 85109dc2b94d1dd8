/** Implements `egretvalve load`, which runs a profile or a trace under one or more policies. */
import * as settings from '@egretvalve/settings'
import type * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import { comparePolicies } from '../comparison.ts'
import type { LoadPlan } from '../plan.ts'
import { createPlan } from '../profiles.ts'
import { formatReport } from '../report.ts'
import { formatTable } from '../table.ts'
import { formatTrace } from '../trace.ts'
import { CommandExit, createFactory, createTracePlan, formatJson, readTrace, resolveCommand, resolveFleet, writeOutput } from './common.ts'
import type { CommandEnvironment, CommandStreams } from './common.ts'
import { loadDefinition } from './loadSettings.ts'
import { runSlopes } from './slopes.ts'
import type { LoadSettings } from './loadSettings.ts'

/** Summary for the command overview. */
export const LOAD_SUMMARY = 'Runs a load profile or a trace and compares policies on it.'

const MS_PER_SECOND = 1_000

/** Runs the command and returns its exit code. */
export async function runLoad (args: readonly string[], environment: CommandEnvironment, streams: CommandStreams): Promise<number> {
  const values = resolveCommand({ name: 'load', summary: LOAD_SUMMARY, definition: loadDefinition }, args, environment, streams)
  if (values.err) return values.val
  if (values.val.slopes) return await runSlopes(values.val, streams)
  const plan = await resolvePlan(values.val)
  if (plan.err) {
    streams.error(plan.val.describe())
    return CommandExit.Usage
  }
  await compare(plan.val, values.val, streams)
  return CommandExit.Success
}

async function resolvePlan (values: LoadSettings): Promise<results.Result<LoadPlan, protocol.StepError>> {
  const fleet = resolveFleet(values)
  if (values.trace === '') {
    return results.Ok(createPlan({ profile: values.profile, seed: values.seed, fleet, durationMs: values.seconds * MS_PER_SECOND, teams: values.teams }))
  }
  const jobs = await readTrace(values.trace)
  return jobs.map(read => createTracePlan('trace', read, fleet))
}

async function compare (plan: LoadPlan, values: LoadSettings, streams: CommandStreams): Promise<void> {
  const timers = new settings.TimerService()
  const { fleet, jobs } = plan
  streams.out(`${plan.name}, seed ${plan.seed}: ${jobs.length} submissions in ${plan.durationMs / MS_PER_SECOND} s, ${fleet.entries} entries, ${fleet.servers} servers x ${fleet.slots} slots`)
  const policyResults = await comparePolicies(plan, values.policy, createFactory(values, timers), timers)
  const measures = policyResults.map(result => result.measures)
  streams.out(formatTable(measures))
  for (const { policy, answers } of measures) streams.out(`${policy}: ${answers.map(answer => `${answer.count} ${answer.kind} ${answer.code}`.trimEnd()).join(', ')}`)
  const summary = { profile: plan.name, seed: plan.seed, fleet, durationMs: plan.durationMs, submissions: jobs.length, policies: measures }
  await writeOutput(values.saveTrace, formatTrace(jobs))
  await writeOutput(values.json, formatJson(summary))
  if (values.report !== '') await writeOutput(values.report, formatReport(plan, policyResults))
}
