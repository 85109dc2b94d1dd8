/** Declarative settings: flags, environment variables, validation and help are derived from one definition. */
import { parseArgs } from 'node:util'
import * as results from 'ts-results'
import type * as zod from 'zod'

/** Prefix of every environment variable. */
export const ENVIRONMENT_PREFIX = 'EGRETVALVE_'

/** Origin of a value. */
export enum SettingSource {
  Flag = 'flag',
  Environment = 'environment variable',
  Default = 'default'
}

/** One setting. The names of its flag and environment variable are derived from its key, which is in camel case with a unit suffix. */
export interface SettingDefinition<T> {
  /** Validates and converts the text of the value. */
  schema: zod.ZodType<T>
  /** Used if neither the flag nor the variable is given. A setting without it is required. */
  defaultText?: string
  help: string
  /** Describes valid values, for help and errors. */
  expects: string
  /** Marks a boolean flag without a value, such as `--plain-text`. */
  isSwitch?: boolean
}

export type SettingsDefinition<T> = { readonly [K in keyof T]: SettingDefinition<T[K]> }

/** An invalid value or an unknown flag. */
export interface SettingsProblem {
  name: string
  given: string
  expects: string
}

/** Validated values, positional arguments and the origin of each value by key. */
export interface ResolvedSettings<T> {
  values: T
  positionals: string[]
  sources: Readonly<Record<string, SettingSource>>
}

/** Returns the flag name of a key: `leaseMs` becomes `lease-ms`. */
export function flagName (key: string): string {
  return key.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Returns the environment variable name of a key: `leaseMs` becomes `EGRETVALVE_LEASE_MS`. */
export function environmentName (key: string): string {
  return ENVIRONMENT_PREFIX + flagName(key).replaceAll('-', '_').toUpperCase()
}

/** Resolves settings from flags, environment variables and defaults, in this order of precedence. Returns every invalid value, or the first unknown flag. */
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

/** Formats an invalid value for the terminal. */
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
