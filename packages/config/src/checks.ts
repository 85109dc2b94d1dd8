/** Field schemas shared by answers and documents, and the problems that they report. */
import * as zod from 'zod'

/** An invalid value. */
export interface ConfigProblem {
  /** Path of the question or field, such as `services[0].requests[1].path`. */
  question: string
  /** The value given, as JSON text, or `nothing`. */
  given: string
  /** Description of a valid value. */
  expects: string
}

const IDENTIFIER_PATTERN = /^[a-z][a-z0-9-]{0,62}$/
const PATH_PATTERN = /^\/[A-Za-z0-9/_.~-]{0,200}$/
/** Value of `ConfigProblem.expects` for an unknown field. */
export const UNKNOWN_FIELD_EXPECTS = 'no field of this name'
/** Maximum length of the quoted value in a problem, in characters. */
const MAX_QUOTED_LENGTH = 120

/** Schema of a lower-case identifier. */
export function identifier (): zod.ZodString {
  const expects = 'a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter, such as spares-shop'
  return zod.string({ error: expects }).regex(IDENTIFIER_PATTERN, { error: expects })
}

/** Schema of a display text. */
export function title (): zod.ZodString {
  const expects = 'a text of 1 to 120 characters'
  return zod.string({ error: expects }).min(1, { error: expects }).max(120, { error: expects })
}

/** Schema of an HTTP path on the backend server. */
export function requestPath (): zod.ZodString {
  const expects = 'a path that starts with /, such as /stock/check'
  return zod.string({ error: expects }).regex(PATH_PATTERN, { error: expects })
}

/** Schema of a whole number; the bounds are inclusive. */
export function wholeNumber (unit: string, lowest: number, highest: number): zod.ZodNumber {
  const expects = `a whole number of ${unit} from ${lowest} to ${highest}`
  return zod.number({ error: expects }).int({ error: expects }).min(lowest, { error: expects }).max(highest, { error: expects })
}

/** Schema of a number; the bounds are inclusive. */
export function decimalNumber (unit: string, lowest: number, highest: number): zod.ZodNumber {
  const expects = `a number of ${unit} from ${lowest} to ${highest}`
  return zod.number({ error: expects }).min(lowest, { error: expects }).max(highest, { error: expects })
}

/** Schema of a boolean. */
export function yesOrNo (): zod.ZodBoolean {
  return zod.boolean({ error: 'true or false' })
}

/** Schema of an enum value. */
export function choice<T extends Readonly<Record<string, string>>> (values: T): zod.ZodEnum<T> {
  return zod.enum(values, { error: `one of ${Object.values(values).join(', ')}` })
}

/** Schema of a list with 1 to `highest` elements whose keys are unique. */
export function distinctList<T extends zod.ZodType> (element: T, highest: number, keyOf: (value: zod.infer<T>) => string, noun: string) {
  const expects = `a list of 1 to ${highest} ${noun}`
  return zod.array(element, { error: expects }).min(1, { error: expects }).max(highest, { error: expects })
    .refine(values => new Set(values.map(keyOf)).size === values.length, { error: `${noun} that all differ` })
}

/** Converts the issues of a failed validation to problems; each unknown field is a problem of its own. */
export function describeIssues (error: zod.ZodError, input: unknown): ConfigProblem[] {
  return error.issues.flatMap(issue => describeIssue(issue, input))
}

function describeIssue (issue: zod.core.$ZodIssue, input: unknown): ConfigProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => describeValue([...issue.path, key], input, UNKNOWN_FIELD_EXPECTS))
  }
  return [describeValue(issue.path, input, issue.message)]
}

function describeValue (path: readonly PropertyKey[], input: unknown, expects: string): ConfigProblem {
  return { question: formatPath(path), given: quoteValue(readPath(input, path)), expects }
}

/** Formats a path: `['services', 0, 'name']` becomes `services[0].name`; the empty path becomes `document`. */
export function formatPath (path: readonly PropertyKey[]): string {
  const text = path.map(part => typeof part === 'number' ? `[${part}]` : `.${String(part)}`).join('')
  return text.startsWith('.') ? text.slice(1) : text === '' ? 'document' : text
}

function readPath (input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[part]
  }
  return value
}

function quoteValue (value: unknown): string {
  if (value === undefined || value === null) return 'nothing'
  const text = JSON.stringify(value)
  return text.length <= MAX_QUOTED_LENGTH ? text : `${text.slice(0, MAX_QUOTED_LENGTH)}…`
}

/** Formats a problem as one line. */
export function describeConfigProblem (problem: ConfigProblem): string {
  return `${problem.question}: got ${problem.given}; expected ${problem.expects}`
}
