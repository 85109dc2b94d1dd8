/** Field checks that the answers and the documents share, and the problems they report. */
import * as zod from 'zod'

/** A value that was refused. */
export interface ConfigProblem {
  /** Path of the question or field, such as `services[0].requests[1].path`. */
  question: string
  /** The value given, as JSON text, or `nothing`. */
  given: string
  /** What a valid value looks like. */
  expects: string
}

const IDENTIFIER_PATTERN = /^[a-z][a-z0-9-]{0,62}$/
const PATH_PATTERN = /^\/[A-Za-z0-9/_.~-]{0,200}$/
/** What is expected in place of a field that does not exist. */
export const UNKNOWN_FIELD_EXPECTS = 'no field of this name'
/** Longest part of a refused value that a problem quotes, in characters. */
const MAX_QUOTED_LENGTH = 120

/** A lower-case identifier. */
export function identifier (): zod.ZodString {
  const expects = 'a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter, such as spares-shop'
  return zod.string({ error: expects }).regex(IDENTIFIER_PATTERN, { error: expects })
}

/** A text for people. */
export function title (): zod.ZodString {
  const expects = 'a text of 1 to 120 characters'
  return zod.string({ error: expects }).min(1, { error: expects }).max(120, { error: expects })
}

/** An HTTP path on the backend server. */
export function requestPath (): zod.ZodString {
  const expects = 'a path that starts with /, such as /stock/check'
  return zod.string({ error: expects }).regex(PATH_PATTERN, { error: expects })
}

/** A whole number within bounds. */
export function wholeNumber (unit: string, lowest: number, highest: number): zod.ZodNumber {
  const expects = `a whole number of ${unit} from ${lowest} to ${highest}`
  return zod.number({ error: expects }).int({ error: expects }).min(lowest, { error: expects }).max(highest, { error: expects })
}

/** A number within bounds. */
export function decimalNumber (unit: string, lowest: number, highest: number): zod.ZodNumber {
  const expects = `a number of ${unit} from ${lowest} to ${highest}`
  return zod.number({ error: expects }).min(lowest, { error: expects }).max(highest, { error: expects })
}

/** True or false. */
export function yesOrNo (): zod.ZodBoolean {
  return zod.boolean({ error: 'true or false' })
}

/** One of the values of an enum. */
export function choice<T extends Readonly<Record<string, string>>> (values: T): zod.ZodEnum<T> {
  return zod.enum(values, { error: `one of ${Object.values(values).join(', ')}` })
}

/** A list with at least one element whose elements differ in one field. */
export function distinctList<T extends zod.ZodType> (element: T, highest: number, keyOf: (value: zod.infer<T>) => string, noun: string) {
  const expects = `a list of 1 to ${highest} ${noun}`
  return zod.array(element, { error: expects }).min(1, { error: expects }).max(highest, { error: expects })
    .refine(values => new Set(values.map(keyOf)).size === values.length, { error: `${noun} that all differ` })
}

/** Describes every refused value of an input. */
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

/** Formats a path: `['services', 0, 'name']` becomes `services[0].name`. */
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
