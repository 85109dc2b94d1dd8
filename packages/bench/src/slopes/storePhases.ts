/** Measures store calls during the phases of a fleet's lifecycle. */
import type * as settings from '@egretvalve/settings'
import { LocalFleet } from '../localFleet.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import type { StorePhase } from './series.ts'

const FLEET_ENTRIES = 18
const FLEET_AGENTS = 4
const SAMPLE_PERIOD_MS = 100
const SAMPLES_PER_SECOND = 10
const REST_MS = 10_000
const OUTAGE_MS = 20_000
const RETURN_MS = 10_000
const LOSS_MS = 20_000
/** Size of one of six failure domains. */
const ENTRIES_PER_FAILURE_DOMAIN = FLEET_ENTRIES / 6

interface CallSample {
  reads: number
  writes: number
}

/** Samples the call counters of the store during one phase, to find its busiest second. */
class CallSampler {
  private readonly samples: CallSample[] = []
  private readonly refusedBefore: number
  private readonly handle: settings.TimerHandle

  constructor (private readonly fleet: LocalFleet, timers: settings.Timers) {
    this.refusedBefore = fleet.store.refusedCalls
    this.handle = timers.every(SAMPLE_PERIOD_MS, () => { this.samples.push({ ...fleet.store.counts }) })
  }

  /** Ends the phase and returns its figures. */
  finish (phase: string): StorePhase {
    this.handle.cancel()
    return {
      phase,
      entries: FLEET_ENTRIES,
      peakReads: this.findPeak(sample => sample.reads),
      peakWrites: this.findPeak(sample => sample.writes),
      refusedCalls: this.fleet.store.refusedCalls - this.refusedBefore
    }
  }

  private findPeak (read: (sample: CallSample) => number): number {
    let peak = 0
    for (let index = SAMPLES_PER_SECOND; index < this.samples.length; index++) {
      peak = Math.max(peak, read(this.samples[index]!) - read(this.samples[index - SAMPLES_PER_SECOND]!))
    }
    return peak
  }
}

/** Measures the store calls of a fleet at start, at rest, during and after a store outage, during a rolling replacement, and after a failure domain stops. */
export async function measureStorePhases (options: SlopeOptions): Promise<StorePhase[]> {
  const { timers } = options
  const fleet = new LocalFleet({ entries: FLEET_ENTRIES, agents: FLEET_AGENTS, timers })
  const measure = async (phase: string, work: () => Promise<void>): Promise<StorePhase> => {
    const sampler = new CallSampler(fleet, timers)
    await work()
    return sampler.finish(phase)
  }
  const phases = [
    await measure('all entries start at once', async () => { await fleet.start(); await timers.sleep(REST_MS) }),
    await measure('at rest', async () => { await timers.sleep(REST_MS) }),
    await measure('outage of the store', async () => {
      fleet.store.faults.down = true
      await timers.sleep(OUTAGE_MS)
    }),
    await measure('all come back after the outage', async () => {
      fleet.store.faults.down = false
      await timers.sleep(RETURN_MS)
    }),
    await measure('rolling replacement of all entries', async () => { await replaceAll(fleet) }),
    await measure('the entries of a failure domain stop as planned', async () => { await stopFailureDomain(fleet, timers) })
  ]
  await fleet.stop()
  return phases
}

async function replaceAll (fleet: LocalFleet): Promise<void> {
  for (let index = 0; index < FLEET_ENTRIES; index++) await fleet.replaceEntry(index)
}

async function stopFailureDomain (fleet: LocalFleet, timers: settings.Timers): Promise<void> {
  await Promise.all(Array.from({ length: ENTRIES_PER_FAILURE_DOMAIN }, () => fleet.stopLastEntry()))
  await timers.sleep(LOSS_MS)
}
