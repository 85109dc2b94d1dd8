/** Finds duplicate keys within an object of a JSON text, of which `JSON.parse` retains only the last. */

const QUOTE = '"'
const BACKSLASH = '\\'.charCodeAt(0)
const COLON = ':'.charCodeAt(0)
const OPEN_BRACE = '{'.charCodeAt(0)
const CLOSE_BRACE = '}'.charCodeAt(0)
/** Between the tokens of a valid JSON text, all code points up to the space are white space. */
const SPACE = ' '.charCodeAt(0)

/** Returns the first duplicate key in a JSON text, or undefined. The text must be valid JSON. */
export function findDuplicateKey (text: string): string | undefined {
  const openObjects: Array<Set<string>> = []
  let position = 0
  let start = text.indexOf(QUOTE)
  while (start !== -1) {
    updateOpenObjects(text, position, start, openObjects)
    position = findStringEnd(text, start)
    if (isFollowedByColon(text, position)) {
      const key = readString(text, start, position)
      const keys = openObjects.at(-1)!
      if (keys.has(key)) return key
      keys.add(key)
    }
    start = text.indexOf(QUOTE, position)
  }
  return undefined
}

/** Updates the stack of open objects for the braces between two strings. */
function updateOpenObjects (text: string, from: number, to: number, openObjects: Array<Set<string>>): void {
  for (let position = from; position < to; position++) {
    const code = text.charCodeAt(position)
    if (code === OPEN_BRACE) openObjects.push(new Set())
    else if (code === CLOSE_BRACE) openObjects.pop()
  }
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
