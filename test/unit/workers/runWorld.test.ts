/** Guards against ends that are reported while the task runs, over drawn delays, losses, stops and restarts. More seeds: `npx tsx scripts/exploreRuns.ts --from 1 --to 1000`. */
import { expect } from 'chai'
import { playRuns } from '../../support/runWorld.ts'

const SEEDS = 12
const DURATION_MS = 2_500

const worlds = {
  'calls that overtake each other': { maxPathMs: 40, lateShare: 0, hidesStoppingRuns: false, hasRestarts: false },
  'calls that are lost or carried out late': { maxPathMs: 40, lateShare: 0.06, hidesStoppingRuns: false, hasRestarts: false },
  'workers that list only what goes on': { maxPathMs: 40, lateShare: 0.06, hidesStoppingRuns: true, hasRestarts: false },
  'restarts and silent workers': { maxPathMs: 20, lateShare: 0.02, hidesStoppingRuns: true, hasRestarts: true }
}

describe('agents report each task as ended once, and never while it runs', () => {
  for (const [name, world] of Object.entries(worlds)) {
    it(`with ${name}`, async () => {
      for (let seed = 1; seed <= SEEDS; seed++) expect(await playRuns({ seed, durationMs: DURATION_MS, ...world }), `seed ${seed}`).to.deep.equal([])
    })
  }
})
