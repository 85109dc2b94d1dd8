/** What the commands have in common. */
import { readFile, writeFile } from 'node:fs/promises'
import { canStartProcesses } from '../measuredProcess.ts'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import type { DispatcherFactory } from '../comparison.ts'
import { EgretvalveDispatcher, createLocalDispatcher } from '../egretvalve.ts'
import { createRunningFleet } from '../fleet.ts'
import type { Fleet } from '../fleet.ts'
import type { FleetSize, LoadPlan } from '../plan.ts'
import { ProcessFleet } from '../processFleet.ts'
import { parseTrace } from '../trace.ts'
import type { TraceJob } from '../trace.ts'
import type { FleetSettings } from './loadSettings.ts'

/** Where a command writes. */
export interface CommandStreams {
  out: (line: string) => void
  error: (line: string) => void
}

export type CommandEnvironment = Readonly<Record<string, string | undefined>>

/** Exit codes of the commands. */
export enum CommandExit {
  Success = 0,
  Failure = 1,
  Usage = 2
}

/** Help texts of a command. */
export interface CommandHelp<T extends object> {
  name: string
  summary: string
  definition: settings.SettingsDefinition<T>
}

/** Resolves a command's settings, or prints its help or what is wrong and returns the exit code. */
export function resolveCommand<T extends object> (
  help: CommandHelp<T>,
  args: readonly string[],
  environment: CommandEnvironment,
  streams: CommandStreams
): results.Result<T, CommandExit> {
  if (args.includes('--help') || args.includes('-h')) {
    streams.out(settings.formatHelp(`egretvalve ${help.name} [settings]`, help.summary, help.definition))
    return results.Err(CommandExit.Success)
  }
  const resolved = settings.resolveSettings(help.definition, args, environment)
  if (resolved.ok) return results.Ok(resolved.val.values)
  for (const problem of resolved.val) streams.error(settings.describeProblem(problem))
  return results.Err(CommandExit.Usage)
}

/** Returns the size of the fleet that the settings name. */
export function resolveFleet (values: FleetSettings): FleetSize {
  const entries = values.entryAddresses.length > 0 ? values.entryAddresses.length : values.entries
  const servers = values.announceAddresses.length > 0 ? values.announceAddresses.length : values.servers
  return { entries, servers, slots: values.slots }
}

/** Returns how egretvalve is run: by address, in this process, or as processes of their own. */
export function createFactory (values: FleetSettings, timers: settings.Timers): DispatcherFactory {
  if (values.entryAddresses.length === 0 && (values.inProcess || !canStartProcesses())) return (servers, plan) => createLocalDispatcher(servers, plan, timers)
  return (servers, plan) => new EgretvalveDispatcher(servers, plan.fleet.slots, timers, createFleet(values, plan.fleet))
}

function createFleet (values: FleetSettings, size: FleetSize): Fleet {
  const { entryAddresses, announceAddresses } = values
  if (entryAddresses.length > 0) return createRunningFleet({ entryAddresses, announceAddresses })
  return new ProcessFleet(size.entries, size.servers)
}

/** Reads a trace file. */
export async function readTrace (path: string): Promise<results.Result<TraceJob[], protocol.StepError>> {
  try {
    return parseTrace(await readFile(path, 'utf8'))
  } catch (thrown) {
    return results.Err(protocol.toStepError(thrown, 'trace.read', path))
  }
}

/** Creates the plan of a trace file: the fleet is healthy throughout. */
export function createTracePlan (name: string, jobs: TraceJob[], fleet: FleetSize): LoadPlan {
  const lastAtMs = jobs[jobs.length - 1]?.atMs ?? 0
  return { name, seed: 1, fleet, jobs, events: [], durationMs: Math.max(1, lastAtMs) }
}

/** Writes a file when a path is given. */
export async function writeOutput (path: string, text: string): Promise<void> {
  if (path !== '') await writeFile(path, text)
}

/** Formats a value as JSON for a file. */
export function formatJson (value: unknown): string {
  return JSON.stringify(value, undefined, 2) + '\n'
}
