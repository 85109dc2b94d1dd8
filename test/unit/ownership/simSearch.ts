/** Runs the schedules of a range of seeds on several threads. */
import * as path from 'node:path'
import { Worker } from 'node:worker_threads'
import { addTotals, createTotals } from './simTotals.ts'
import type { SeedRange, Totals } from './simTotals.ts'

const WORKER_FILE = path.resolve('test/unit/ownership/simWorker.ts')
/** Code of a thread: loads the TypeScript file through tsx. */
const WORKER_CODE = `require('tsx/cjs'); require(${JSON.stringify(WORKER_FILE)})`

/** Runs the schedules of a range of seeds and returns their totals, which do not depend on the number of threads. */
export async function searchSchedules (range: SeedRange, threads: number): Promise<Totals> {
  const totals = createTotals()
  const share = Math.ceil(range.count / threads)
  const ranges = Array.from({ length: threads }, (_, index) => ({
    firstSeed: range.firstSeed + index * share,
    count: Math.min(share, range.count - index * share)
  }))
  const parts = await Promise.all(ranges.filter(part => part.count > 0).map(runWorker))
  for (const part of parts) addTotals(totals, part)
  return totals
}

async function runWorker (range: SeedRange): Promise<Totals> {
  return await new Promise((resolve, reject) => {
    const worker = new Worker(WORKER_CODE, { eval: true, workerData: range })
    worker.once('message', resolve)
    worker.once('error', reject)
  })
}
