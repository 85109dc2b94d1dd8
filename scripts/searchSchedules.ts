// Searches simulated ownership schedules for violations. Exits with 1 when one is found.
// Usage: npx tsx scripts/searchSchedules.ts <first seed> <count> <threads>
import { searchSchedules } from '../test/unit/ownership/simSearch.ts'

const [firstSeed = '1', count = '100000', threads = '4'] = process.argv.slice(2)

searchSchedules({ firstSeed: Number(firstSeed), count: Number(count) }, Number(threads)).then(totals => {
  console.log(JSON.stringify(totals, undefined, 2))
  process.exitCode = totals.findings.length === 0 ? 0 : 1
}, thrown => {
  console.error(thrown)
  process.exitCode = 1
})
