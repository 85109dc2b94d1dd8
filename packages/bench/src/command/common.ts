/** Shared parts of the commands. */
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

/** Output streams of a command, written line by line. */
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

/** Name, help text and settings of a command. */
export interface CommandHelp<T extends object> {
  name: string
  summary: string
  definition: settings.SettingsDefinition<T>
}

/** Resolves the settings of a command. Otherwise prints the help or the invalid settings and returns the exit code as the error. */
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

/** Returns the fleet size; given addresses take precedence over given counts. */
export function resolveFleet (values: FleetSettings): FleetSize {
  const entries = values.entryAddresses.length > 0 ? values.entryAddresses.length : values.entries
  const servers = values.announceAddresses.length > 0 ? values.announceAddresses.length : values.servers
  return { entries, servers, slots: values.slots }
}

/** Returns the factory of the dispatcher under test: a running fleet given by address, a fleet in this process, or separate processes. */
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

/** Creates the plan of a trace file, without changes of the fleet. */
export function createTracePlan (name: string, jobs: TraceJob[], fleet: FleetSize): LoadPlan {
  const lastAtMs = jobs[jobs.length - 1]?.atMs ?? 0
  return { name, seed: 1, fleet, jobs, events: [], durationMs: Math.max(1, lastAtMs) }
}

/** Writes a file unless the path is empty. */
export async function writeOutput (path: string, text: string): Promise<void> {
  if (path !== '') await writeFile(path, text)
}

/** Formats a value as indented JSON with a final newline. */
export function formatJson (value: unknown): string {
  return JSON.stringify(value, undefined, 2) + '\n'
}
