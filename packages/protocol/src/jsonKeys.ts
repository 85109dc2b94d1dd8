/** Finds what `JSON.parse` accepts without a word: duplicate keys within an object, of which it retains only the last, and deep nesting, which overflows the stack of recursive functions. */

const QUOTE = '"'
const BACKSLASH = '\\'.charCodeAt(0)
const COLON = ':'.charCodeAt(0)
const OPEN_BRACE = '{'.charCodeAt(0)
const CLOSE_BRACE = '}'.charCodeAt(0)
const OPEN_BRACKET = '['.charCodeAt(0)
const CLOSE_BRACKET = ']'.charCodeAt(0)
/** Between the tokens of a valid JSON text, all code points up to the space are white space. */
const SPACE = ' '.charCodeAt(0)

export type StructureProblem =
  | { kind: 'duplicate', key: string }
  | { kind: 'nesting' }

/** The keys seen in each open object, and undefined for each open list. */
type OpenContainers = Array<Set<string> | undefined>

/** Returns the first duplicate key in a JSON text, or that lists and objects are nested more than `maxDepth` levels deep. The text must be valid JSON. */
export function findStructureProblem (text: string, maxDepth: number): StructureProblem | undefined {
  const open: OpenContainers = []
  let position = 0
  let start = text.indexOf(QUOTE)
  while (start !== -1) {
    if (!updateOpenContainers(text, position, start, open, maxDepth)) return { kind: 'nesting' }
    position = findStringEnd(text, start)
    if (isFollowedByColon(text, position)) {
      const key = readString(text, start, position)
      const keys = open.at(-1)!
      if (keys.has(key)) return { kind: 'duplicate', key }
      keys.add(key)
    }
    start = text.indexOf(QUOTE, position)
  }
  return updateOpenContainers(text, position, text.length, open, maxDepth) ? undefined : { kind: 'nesting' }
}

/** Updates the stack of open lists and objects for the text between two strings. Returns false as soon as it exceeds `maxDepth`. */
function updateOpenContainers (text: string, from: number, to: number, open: OpenContainers, maxDepth: number): boolean {
  for (let position = from; position < to; position++) {
    const code = text.charCodeAt(position)
    if (code === OPEN_BRACE) open.push(new Set())
    else if (code === OPEN_BRACKET) open.push(undefined)
    else if (code === CLOSE_BRACE || code === CLOSE_BRACKET) open.pop()
    if (open.length > maxDepth) return false
  }
  return true
}

/** Returns the position after the closing quote of the string whose opening quote is at `start`. */
function findStringEnd (text: string, start: number): number {
  let end = text.indexOf(QUOTE, start + 1)
  while (isEscaped(text, end)) end = text.indexOf(QUOTE, end + 1)
  return end + 1
}

function readString (text: string, start: number, end: number): string {
  const content = text.slice(start + 1, end - 1)
  return content.includes('\\') ? JSON.parse(text.slice(start, end)) as string : content
}

function isEscaped (text: string, position: number): boolean {
  let backslashes = 0
  while (text.charCodeAt(position - 1 - backslashes) === BACKSLASH) backslashes++
  return backslashes % 2 === 1
}

/** A string is a key when a colon follows it. */
function isFollowedByColon (text: string, position: number): boolean {
  let next = position
  while (text.charCodeAt(next) <= SPACE) next++
  return text.charCodeAt(next) === COLON
}
