// Fills the tables of docs/CAPACITY.md from a run's JSON: npx tsx scripts/generateCapacity.ts [JSON of load --slopes]
import { readFileSync, writeFileSync } from 'node:fs'
import * as bench from '@egretvalve/bench'

const PAGE_FILE = 'docs/CAPACITY.md'
const DATA_FILE = 'docs/capacity/slopes.json'

const given = process.argv[2]
if (given !== undefined) writeFileSync(DATA_FILE, readFileSync(given))
const report = JSON.parse(readFileSync(DATA_FILE, 'utf8')) as bench.SlopeReport
writeFileSync(PAGE_FILE, bench.fillPage(readFileSync(PAGE_FILE, 'utf8'), report))
for (const row of bench.listOverruns(report)) console.log(`over its limit: ${row.role}, ${row.cost}: ${bench.formatNumber(row.figure)} ${row.unit}`)
