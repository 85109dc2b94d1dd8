// Plays entries that claim jobs over many seeds: `npx tsx scripts/exploreClaims.ts --from 1 --to 2000`. Prints the seeds that violate a guarantee.
import { parseArgs } from 'node:util'
import { playClaims } from '../test/support/claimWorld.ts'

const { values } = parseArgs({
  options: {
    from: { type: 'string', default: '1' },
    to: { type: 'string', default: '200' },
    path: { type: 'string', default: '30' },
    duration: { type: 'string', default: '12000' }
  }
})

async function main (): Promise<void> {
  let failed = 0
  for (let seed = Number(values.from); seed <= Number(values.to); seed++) {
    const violations = await playClaims({ seed, durationMs: Number(values.duration), maxPathMs: Number(values.path), entries: 2 + seed % 4 })
    if (violations.length === 0) continue
    failed++
    console.log(`seed ${seed}: ${violations.length} violations: ${violations.slice(0, 3).join('; ')}`)
  }
  console.log(`${failed} of ${Number(values.to) - Number(values.from) + 1} seeds violate a guarantee`)
  process.exitCode = failed === 0 ? 0 : 1
}

main()
