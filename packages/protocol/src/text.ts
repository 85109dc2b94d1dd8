/** Bounded texts for log lines and error messages. */

/** Returns the text, or its beginning and its length if it has more than `maxChars` characters. */
export function truncateText (text: string, maxChars: number): string {
  return text.length <= maxChars ? text : `${text.slice(0, maxChars)}… (${text.length} characters)`
}
