// Fills the tables of docs/CAPACITY.md from the JSON report of a slopes run and prints the costs that exceed their limits.
// A report file passed as the argument replaces the stored one. Usage: npx tsx scripts/generateCapacity.ts [JSON of load --slopes]
import { readFileSync, writeFileSync } from 'node:fs'
import * as bench from '@egretvalve/bench'

const PAGE_FILE = 'docs/CAPACITY.md'
const DATA_FILE = 'docs/capacity/slopes.json'

const reportFile = process.argv[2]
if (reportFile !== undefined) writeFileSync(DATA_FILE, readFileSync(reportFile))
const report = JSON.parse(readFileSync(DATA_FILE, 'utf8')) as bench.SlopeReport
writeFileSync(PAGE_FILE, bench.fillPage(readFileSync(PAGE_FILE, 'utf8'), report))
for (const row of bench.listOverruns(report)) console.log(`limit exceeded: ${row.role}, ${row.cost}: ${bench.formatNumber(row.figure)} ${row.unit}`)
