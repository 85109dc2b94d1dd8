/** Guards against a growing number of messages between entries per job, which binds the processor time of small entries. */
import { expect } from 'chai'
import * as prand from 'pure-rand'
import * as claims from '@egretvalve/claims'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'

const PATH_MS = 1
const RUN_MS = 300
const DURATION_MS = 4_000
const MATURE_MS = 60_000

interface Counts {
  jobs: number
  /** Messages between entries, in both directions. */
  messages: number
}

/** Plays entries that each accept jobs at random times, `jobsPerSecond` on average, all of which succeed. */
async function countMessages (entries: number, jobsPerSecond: number): Promise<Counts> {
  const timers = new settings.FakeTimers()
  const generator = prand.xoroshiro128plus(1)
  const counts: Counts = { jobs: 0, messages: 0 }
  const ids = Array.from({ length: entries }, (_, number) => `entry-${number}`)
  const tables = new Map(ids.map(entryId => [entryId, new claims.ClaimTable(timers)]))
  const pass = (deliver: () => void): void => {
    counts.messages++
    timers.after(PATH_MS, deliver)
  }
  const nodes = ids.map(entryId => {
    const claimant = { entryId, incarnation: entryId }
    const handleGranted = (jobId: string): void => { timers.after(RUN_MS, () => { created.release(jobId, true) }) }
    const created: claims.JobClaims = new claims.JobClaims(entryId, { timers, log: settings.createSilentLog() }, { onGranted: handleGranted, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} })
    for (const [registrarId, table] of tables) {
      const send = (requests: claims.ClaimRequests): void => {
        const answer = (): void => {
          const answers = table.apply(claimant, requests)
          if (registrarId === entryId) created.handleAnswers(registrarId, answers)
          else if (answers.length > 0) pass(() => { created.handleAnswers(registrarId, answers) })
        }
        if (registrarId === entryId) answer()
        else pass(answer)
      }
      created.handleOpened(registrarId, { send, reset: () => {} }, MATURE_MS)
    }
    created.start()
    return created
  })
  for (let passedMs = 0; passedMs < DURATION_MS; passedMs++) {
    for (const node of nodes) if (prand.unsafeUniformIntDistribution(0, 999, generator) < jobsPerSecond) node.claim(`job-${counts.jobs++}`, 3_000)
    timers.advance(1)
    await new Promise<void>(resolve => { setImmediate(resolve) })
  }
  return counts
}

describe('messages between entries per job', () => {
  before(async () => { await protocol.loadHash() })

  for (const { entries, jobsPerSecond, bound } of [{ entries: 10, jobsPerSecond: 60, bound: 3.7 }, { entries: 3, jobsPerSecond: 10, bound: 2.8 }]) {
    it(`are at most ${bound} with ${entries} entries of ${jobsPerSecond} jobs a second`, async () => {
      const { jobs, messages } = await countMessages(entries, jobsPerSecond)
      expect(messages / jobs).to.be.below(bound)
    })
  }
})
