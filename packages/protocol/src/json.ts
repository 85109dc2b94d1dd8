/** Strict JSON parsing: valid UTF-8, no duplicate keys, bounded nesting, validated by a schema. */
import { isUtf8 } from 'node:buffer'
import * as results from 'ts-results'
import type * as zod from 'zod'
import { assertNever } from './errors.ts'
import { findStructureProblem } from './jsonKeys.ts'
import { truncateText } from './text.ts'

/** Reason why an input was rejected. */
export interface InputProblem {
  /** Path of the field, such as `tasks.3.body`, truncated; `body` for the whole input. */
  field: string
  /** Description of the given value, truncated. */
  given: string
  /** Description of valid values. */
  expects: string
}

/** Formats a problem as text for the sender of the input. */
export function describeInputProblem (problem: InputProblem): string {
  return `${problem.field}: got ${problem.given}; expected ${problem.expects}`
}

const WHOLE_INPUT = 'body'
const MAX_QUOTED_CHARS = 80
/** Levels of lists and objects that an input may have. No schema has ten. */
const MAX_DEPTH = 64

/** Parses a JSON body and validates it against a schema. Returns the first problem found. */
export function parseJson<T> (body: Buffer, schema: zod.ZodType<T>): results.Result<T, InputProblem> {
  const value = parseStrictJson(body)
  if (value.err) return value
  const checked = schema.safeParse(value.val)
  if (checked.success) return results.Ok(checked.data)
  return results.Err(describeIssue(checked.error.issues[0]!, value.val))
}

/** Parses a JSON body. Rejects invalid UTF-8, duplicate keys within an object and nesting that would overflow the stack of the functions that receive the value. */
export function parseStrictJson (body: Buffer): results.Result<unknown, InputProblem> {
  if (!isUtf8(body)) return rejectWholeInput('bytes that are not UTF-8', 'JSON in UTF-8')
  const text = body.toString('utf8')
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (thrown) {
    return rejectWholeInput(text === '' ? 'nothing' : `text that is not JSON (${(thrown as SyntaxError).message})`, 'a JSON object')
  }
  const problem = findStructureProblem(text, MAX_DEPTH)
  switch (problem?.kind) {
    case undefined: return results.Ok(value)
    case 'duplicate': return results.Err({ field: truncateText(problem.key, MAX_QUOTED_CHARS), given: 'the key more than once in one object', expects: 'each key once' })
    case 'nesting': return rejectWholeInput(`more than ${MAX_DEPTH} nested lists and objects`, 'at most that many')
    default: return assertNever(problem)
  }
}

function rejectWholeInput (given: string, expects: string): results.Err<InputProblem> {
  return results.Err({ field: WHOLE_INPUT, given, expects })
}

type Issue = zod.core.$ZodIssue

function describeIssue (issue: Issue, input: unknown): InputProblem {
  const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]!] : issue.path
  const field = path.length === 0 ? WHOLE_INPUT : truncateText(path.map(String).join('.'), MAX_QUOTED_CHARS)
  return { field, given: describeGiven(readPath(input, path)), expects: describeExpected(issue) }
}

function readPath (input: unknown, path: readonly PropertyKey[]): unknown {
  let value = input
  for (const part of path) value = (value as Record<PropertyKey, unknown> | undefined)?.[part]
  return value
}

function describeGiven (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return `a list of ${value.length}`
  return truncateText(JSON.stringify(value), MAX_QUOTED_CHARS)
}

function describeExpected (issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type': return `a value of type ${issue.expected}`
    case 'too_big': return `at most ${issue.maximum}${describeUnit(issue.origin)}`
    case 'too_small': return `at least ${issue.minimum}${describeUnit(issue.origin)}`
    case 'invalid_value': return `one of ${issue.values.map(String).join(', ')}`
    case 'unrecognized_keys': return 'no such field'
    default: return issue.message
  }
}

function describeUnit (origin: string): string {
  switch (origin) {
    case 'array': return ' items'
    case 'string': return ' characters'
    default: return ''
  }
}
