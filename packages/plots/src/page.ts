/** HTML page of a report. */
import { escapeMarkup } from './plot.ts'

/** Formats a page with a heading, preformatted text and figures. `figures` are inserted as markup. */
export function formatPage (title: string, text: string, figures: readonly string[]): string {
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${escapeMarkup(title)}</title></head><body>`,
    `<h1>${escapeMarkup(title)}</h1>`,
    `<pre>${escapeMarkup(text)}</pre>`,
    ...figures,
    '</body></html>',
    ''
  ].join('\n')
}
