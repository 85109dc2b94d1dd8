// Generates docs/EVENTS.md from the log events of the packages.
import { writeFileSync } from 'node:fs'
import { CATALOGUE_FILE, formatCatalogue, readEvents } from './eventCatalogue.ts'

async function main (): Promise<void> {
  const entries = await readEvents()
  writeFileSync(CATALOGUE_FILE, formatCatalogue(entries))
  console.log(`${CATALOGUE_FILE}: ${entries.length} events`)
}

main().catch(thrown => {
  console.error(thrown)
  process.exitCode = 1
})
