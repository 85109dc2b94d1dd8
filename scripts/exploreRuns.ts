// Plays agents and workers over many seeds: `npx tsx scripts/exploreRuns.ts --from 1 --to 1000`. Prints the seeds that violate a guarantee.
import { parseArgs } from 'node:util'
import { playRuns } from '../test/support/runWorld.ts'

const { values } = parseArgs({
  options: {
    from: { type: 'string', default: '1' },
    to: { type: 'string', default: '200' },
    path: { type: 'string', default: '40' },
    late: { type: 'string', default: '0.03' }
  }
})

async function main (): Promise<void> {
  let failed = 0
  for (let seed = Number(values.from); seed <= Number(values.to); seed++) {
    const hidesStoppingRuns = seed % 2 === 1
    const hasRestarts = seed % 4 >= 2
    const violations = await playRuns({ seed, durationMs: 2_500, maxPathMs: Number(values.path), lateShare: Number(values.late), hidesStoppingRuns, hasRestarts })
    if (violations.length === 0) continue
    failed++
    console.log(`seed ${seed}: ${violations.slice(0, 3).join('; ')}`)
  }
  console.log(`${failed} of ${Number(values.to) - Number(values.from) + 1} seeds violate a guarantee`)
  process.exitCode = failed === 0 ? 0 : 1
}

main()
