/** Worker thread that runs a range of seeds and posts the totals. */
import { parentPort, workerData } from 'node:worker_threads'
import * as protocol from '@egretvalve/protocol'
import { runSchedule } from './simSchedule.ts'
import { createTotals, addOutcome } from './simTotals.ts'
import type { SeedRange } from './simTotals.ts'
import { unmutated } from './simWorld.ts'

async function main (): Promise<void> {
  // Simulated faults create thousands of errors; capturing their stacks would take longer than the schedules.
  Error.stackTraceLimit = 0
  await protocol.loadHash()
  const range = workerData as SeedRange
  const totals = createTotals()
  for (let seed = range.firstSeed; seed < range.firstSeed + range.count; seed++) addOutcome(totals, await runSchedule(seed, unmutated))
  parentPort?.postMessage(totals)
}

main().catch(thrown => { throw thrown })
