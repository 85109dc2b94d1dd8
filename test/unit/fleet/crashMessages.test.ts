/** Reports of crashes on the wire, also from agents of earlier versions. */
import { expect } from 'chai'
import * as protocol from '@egretvalve/protocol'
import * as workers from '@egretvalve/workers'
import { decodeCrash, encodeCrash } from '../../../packages/fleet/src/messages.ts'

const NOW_MS = 5_000

function createRun (jobId: string): workers.LostRun {
  return { task: { jobId, step: 0, index: 1 }, queue: 'queue', attempt: 2, earlierCrashes: 1, isObserved: true, runMs: 30 }
}

function transfer (message: protocol.runs.IWorkerCrash): workers.WorkerCrash {
  return decodeCrash(protocol.runs.WorkerCrash.decode(protocol.runs.WorkerCrash.encode(message).finish()), NOW_MS)
}

describe('reports of crashes', () => {
  it('keep confirmed and unconfirmed runs apart', () => {
    const crash: workers.WorkerCrash = { crashId: 'w-1@1#1', kind: workers.CrashKind.Down, crashedAtMs: NOW_MS - 40, runs: [createRun('aboard')], unconfirmed: [createRun('under-way')] }
    expect(transfer(encodeCrash(crash, NOW_MS))).to.deep.equal(crash)
  })

  it('of an agent that does not tell them apart hold all runs as confirmed', () => {
    const { task, ...run } = createRun('aboard')
    expect(transfer({ crashId: 'w-1@1#1', kind: 'down', runs: [{ ...task, ...run }] })).to.deep.equal({ crashId: 'w-1@1#1', kind: workers.CrashKind.Down, crashedAtMs: NOW_MS, runs: [createRun('aboard')], unconfirmed: [] })
  })
})
