// Plays agents and workers, or with `--world fleet` entries, links, agents and workers, over many seeds: `npx tsx scripts/exploreRuns.ts --from 1 --to 1000`. Prints the seeds that violate a guarantee.
import { parseArgs } from 'node:util'
import { FleetFault, playFleet } from '../test/support/fleetWorld.ts'
import { playRuns } from '../test/support/runWorld.ts'

enum World {
  Agents = 'agents',
  Fleet = 'fleet'
}

const { values } = parseArgs({
  options: {
    world: { type: 'string', default: World.Agents },
    from: { type: 'string', default: '1' },
    to: { type: 'string', default: '200' },
    path: { type: 'string', default: '40' },
    limits: { type: 'boolean', default: false },
    late: { type: 'string', default: '0.03' },
    faults: { type: 'string', default: Object.values(FleetFault).join() }
  }
})

const drawn = { maxPathMs: Number(values.path), lateShare: Number(values.late) }

async function playAgents (seed: number): Promise<string[]> {
  const hidesStoppingRuns = seed % 2 === 1
  const hasRestarts = seed % 4 >= 2
  return await playRuns({ seed, durationMs: 2_500, ...drawn, hidesStoppingRuns, hasRestarts })
}

/** Callers leave before their deadlines in every second seed. */
async function playEntries (seed: number): Promise<string[]> {
  const faults = Object.values(FleetFault).filter(fault => values.faults.split(',').includes(fault))
  return await playFleet({ seed, durationMs: 4_000, ...drawn, faults, hasLeavingCallers: seed % 2 === 1, hasLimits: values.limits })
}

async function main (): Promise<void> {
  let failed = 0
  const play = values.world === World.Fleet ? playEntries : playAgents
  for (let seed = Number(values.from); seed <= Number(values.to); seed++) {
    const violations = await play(seed)
    if (violations.length === 0) continue
    failed++
    console.log(`seed ${seed}: ${violations.slice(0, 3).join('; ')}`)
  }
  console.log(`${failed} of ${Number(values.to) - Number(values.from) + 1} seeds violate a guarantee`)
  process.exitCode = failed === 0 ? 0 : 1
}

main()
