import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { CATALOGUE_FILE, formatCatalogue, readEvents } from '../../../scripts/eventCatalogue.ts'

/** First event code of each package. */
const FIRST_CODES: Readonly<Record<string, number>> = {
  entry: 1000,
  agent: 2000,
  platform: 3000,
  ownership: 4000,
  config: 5000,
  standin: 6000,
  bench: 7000,
  cli: 8000,
  placement: 9000,
  workers: 10_000,
  scheduler: 11_000,
  fleet: 12_000,
  adapter: 13_000,
  claims: 15_000,
  runtime: 16_000
}
const CODES_PER_PACKAGE = 1000

describe('log events', () => {
  it('match the catalogue that `npm run catalogue` generates', async () => {
    expect(readFileSync(CATALOGUE_FILE, 'utf8')).to.equal(formatCatalogue(await readEvents()))
  })

  it('have unique codes in the range of their package', async () => {
    const entries = await readEvents()
    expect(new Set(entries.map(entry => entry.code)).size).to.equal(entries.length)
    const outOfRange = entries.filter(entry => {
      const firstCode = FIRST_CODES[entry.packageName] ?? Infinity
      return entry.code < firstCode || entry.code >= firstCode + CODES_PER_PACKAGE
    })
    expect(outOfRange).to.deep.equal([])
  })
})
