/** Guards against tasks that run twice, ends that are reported in two ways, capacity that is lost and steps beyond their limit, over drawn faults of entries, agents, links and workers. More seeds: `npx tsx scripts/exploreRuns.ts --world fleet --from 1 --to 1000`. */
import { expect } from 'chai'
import { FleetFault, playFleet } from '../../support/fleetWorld.ts'

const SEEDS = 5
const DURATION_MS = 3_000

const worlds = {
  'links that break, are silent or slow': { faults: [FleetFault.ResetLink, FleetFault.SilenceLink, FleetFault.DelayLink], hasLeavingCallers: true, maxPathMs: 10, lateShare: 0 },
  'entries and agents that are paused or killed': { faults: [FleetFault.PauseEntry, FleetFault.PauseAgent, FleetFault.KillEntry, FleetFault.KillAgent], hasLeavingCallers: true, maxPathMs: 10, lateShare: 0 },
  'workers that start again, are silent or slow': { faults: [FleetFault.RestartWorker, FleetFault.CrashWorker, FleetFault.SilenceWorker, FleetFault.DelayWorker, FleetFault.StallWorker], hasLeavingCallers: false, maxPathMs: 30, lateShare: 0.03 },
  'steps with a limit of tasks on one worker, under all faults': { faults: Object.values(FleetFault), hasLeavingCallers: true, maxPathMs: 30, lateShare: 0.03, hasLimits: true },
  'all faults': { faults: Object.values(FleetFault), hasLeavingCallers: true, maxPathMs: 30, lateShare: 0.03 }
}

describe('a fleet runs each task once at a time, reports each end once, loses no capacity and keeps limits', () => {
  for (const [name, world] of Object.entries(worlds)) {
    it(`with ${name}`, async () => {
      for (let seed = 1; seed <= SEEDS; seed++) expect(await playFleet({ seed, durationMs: DURATION_MS, ...world }), `seed ${seed}`).to.deep.equal([])
    })
  }
})
