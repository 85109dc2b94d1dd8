/** Settings of a subcommand: one definition gives the flags, the environment variables, the checks and the help. */
import { parseArgs } from 'node:util'
import * as results from 'ts-results'
import type * as zod from 'zod'

/** Prefix of every environment variable. */
export const ENVIRONMENT_PREFIX = 'EGRETVALVE_'

/** Where a value came from. */
export enum SettingSource {
  Flag = 'flag',
  Environment = 'environment variable',
  Default = 'default'
}

/** One setting. Its key, in camel case with a unit suffix, names the flag and the environment variable. */
export interface SettingDefinition<T> {
  /** Checks and converts the text given. */
  schema: zod.ZodType<T>
  /** Used when neither the flag nor the variable is given; a setting without one is required. */
  defaultText?: string
  help: string
  /** What a valid value looks like, for help and errors. */
  expects: string
  /** A flag that stands alone, such as `--plain-text`. */
  isSwitch?: boolean
}

/** The settings of a subcommand by key. */
export type SettingsDefinition<T> = { readonly [K in keyof T]: SettingDefinition<T[K]> }

/** A value that was refused, or a flag that isn't known. */
export interface SettingsProblem {
  name: string
  given: string
  expects: string
}

/** Values and the positional arguments that remain. */
export interface ResolvedSettings<T> {
  values: T
  positionals: string[]
  sources: Readonly<Record<string, SettingSource>>
}

/** Returns the flag of a key: `leaseMs` becomes `lease-ms`. */
export function flagName (key: string): string {
  return key.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Returns the environment variable of a key: `leaseMs` becomes `EGRETVALVE_LEASE_MS`. */
export function environmentName (key: string): string {
  return ENVIRONMENT_PREFIX + flagName(key).replaceAll('-', '_').toUpperCase()
}

/** Resolves settings from flags, then environment variables, then defaults. */
export function resolveSettings<T extends object> (
  definition: SettingsDefinition<T>,
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>
): results.Result<ResolvedSettings<T>, SettingsProblem[]> {
  const keys = Object.keys(definition) as Array<keyof T & string>
  const parsed = parseFlags(definition, keys, args)
  if (parsed.err) return results.Err([parsed.val])
  const problems: SettingsProblem[] = []
  const values: Partial<T> = {}
  const sources: Record<string, SettingSource> = {}
  for (const key of keys) {
    const setting = definition[key]
    const candidate = findText(key, setting, parsed.val.flags, environment)
    sources[key] = candidate.source
    const outcome = setting.schema.safeParse(candidate.text)
    if (outcome.success) values[key] = outcome.data
    else problems.push({ name: describeName(key, candidate.source), given: candidate.text ?? 'nothing', expects: setting.expects })
  }
  if (problems.length > 0) return results.Err(problems)
  return results.Ok({ values: values as T, positionals: parsed.val.positionals, sources })
}

interface ParsedFlags {
  flags: Readonly<Record<string, string | boolean | undefined>>
  positionals: string[]
}

function parseFlags<T> (definition: SettingsDefinition<T>, keys: ReadonlyArray<keyof T & string>, args: readonly string[]): results.Result<ParsedFlags, SettingsProblem> {
  const options: Record<string, { type: 'string' | 'boolean' }> = {}
  for (const key of keys) options[flagName(key)] = { type: definition[key].isSwitch === true ? 'boolean' : 'string' }
  try {
    const parsed = parseArgs({ args: [...args], options, allowPositionals: true, strict: true })
    return results.Ok({ flags: parsed.values as ParsedFlags['flags'], positionals: parsed.positionals })
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown)
    return results.Err({ name: 'command line', given: message.split('.')[0] ?? message, expects: `one of --${keys.map(flagName).join(', --')}` })
  }
}

interface SettingText {
  text: string | undefined
  source: SettingSource
}

function findText<T> (key: string, setting: SettingDefinition<T>, flags: ParsedFlags['flags'], environment: Readonly<Record<string, string | undefined>>): SettingText {
  const flag = flags[flagName(key)]
  if (flag !== undefined) return { text: String(flag), source: SettingSource.Flag }
  const variable = environment[environmentName(key)]
  if (variable !== undefined) return { text: variable, source: SettingSource.Environment }
  return { text: setting.defaultText, source: SettingSource.Default }
}

function describeName (key: string, source: SettingSource): string {
  return source === SettingSource.Environment ? environmentName(key) : `--${flagName(key)}`
}

/** Formats a refused value for a terminal. */
export function describeProblem (problem: SettingsProblem): string {
  return `${problem.name}: got ${problem.given}; expected ${problem.expects}`
}

/** Formats the help text of a subcommand. */
export function formatHelp<T> (usage: string, summary: string, definition: SettingsDefinition<T>): string {
  const entries = Object.entries(definition) as Array<[string, SettingDefinition<unknown>]>
  const lines = entries.map(([key, setting]) => formatSetting(key, setting))
  return [`usage: ${usage}`, '', summary, '', 'settings:', ...lines, ''].join('\n')
}

function formatSetting (key: string, setting: SettingDefinition<unknown>): string {
  const standard = setting.defaultText === undefined ? 'required' : `default ${setting.defaultText === '' ? 'empty' : setting.defaultText}`
  return `  --${flagName(key)}  (${environmentName(key)})\n      ${setting.help} Expects ${setting.expects}; ${standard}.`
}
