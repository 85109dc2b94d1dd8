/** Guards against two entries that run one job, over drawn delays, cuts, resets, pauses, restarts and changes of the fleet. More seeds: `npx tsx scripts/exploreClaims.ts --from 1 --to 2000`. */
import { expect } from 'chai'
import { playClaims } from '../../support/claimWorld.ts'

const SEEDS = 4
const DURATION_MS = 8_000

describe('one entry at a time runs a job, and no claim is left at the end', () => {
  for (const entries of [2, 3, 4, 5]) {
    it(`with ${entries} entries at the start`, async () => {
      for (let seed = 1; seed <= SEEDS; seed++) expect(await playClaims({ seed, durationMs: DURATION_MS, maxPathMs: 30, entries }), `seed ${seed}`).to.deep.equal([])
    })
  }
})
