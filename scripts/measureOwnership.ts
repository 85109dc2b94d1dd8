// Measures ownership of partitions: store calls, takeover times and answers to callers during faults.
// Usage: npx tsx scripts/measureOwnership.ts <calls|faults|outage>
import * as uuid from 'uuid'
import { startEntryFleet, urlOf } from '../test/fixtures/entryFleet.ts'
import type { EntryFleet } from '../test/fixtures/entryFleet.ts'
import { startEntryProcessFleet } from '../test/fixtures/entryProcessFleet.ts'
import * as fleets from '../test/fixtures/fleet.ts'

const MEASUREMENT_MS = 20_000
const SETTLE_MS = 5_000
const FAULT_MS = 15_000
const SUBMIT_PERIOD_MS = 20
const WAIT_MS = 30_000
const SECOND_MS = 1_000
const OUTAGE_MS = 600_000

/** Submission ids with (UUID version 7) and without a timestamp. */
enum IdKind {
  Dated = 'dated',
  Undated = 'undated'
}

interface Sample {
  kind: string
  code: string
  sentAtMs: number
  answeredAtMs: number
}

async function sleep (durationMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, durationMs) })
}

function createId (kind: IdKind): string {
  return kind === IdKind.Dated ? uuid.v7() : `order-${uuid.v4()}`
}

/** Starts submitting one-task jobs at a fixed rate. The returned function stops the load and returns all answers. */
function startLoad (targets: ReadonlyArray<{ url: string }>, idKind: IdKind): () => Promise<Sample[]> {
  const pending: Array<Promise<Sample>> = []
  const timer = setInterval(() => { pending.push(submitOne(targets[pending.length % targets.length]!, createId(idKind))) }, SUBMIT_PERIOD_MS)
  return async () => {
    clearInterval(timer)
    return await Promise.all(pending)
  }
}

async function submitOne (target: { url: string }, submissionId: string): Promise<Sample> {
  const sentAtMs = performance.now()
  const answer = await fleets.submit(target, fleets.createJob({ submissionId, tasks: [{ body: '{"runMs":50}' }] }), WAIT_MS)
  return { kind: answer.value.kind, code: answer.value.code, sentAtMs, answeredAtMs: performance.now() }
}

function countKinds (samples: readonly Sample[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const sample of samples) {
    const name = sample.kind === 'complete' ? 'complete' : `${sample.kind}/${sample.code}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

async function measureStoreCalls (entryCount: number): Promise<void> {
  const fleet = await startEntryFleet(entryCount, 4)
  const startupCounts = { ...fleet.store.store.counts }
  console.log(`${entryCount} entries: ${startupCounts.reads} reads and ${startupCounts.writes} writes until every entry owns its partitions`)
  await sleep(SETTLE_MS)
  await measurePeriod(fleet, `${entryCount} entries idle`)
  const stopLoad = startLoad(fleet.entries.map(urlOf), IdKind.Dated)
  await measurePeriod(fleet, `${entryCount} entries under load`)
  console.log(countKinds(await stopLoad()))
  await fleet.stop()
}

async function measurePeriod (fleet: EntryFleet, name: string): Promise<void> {
  const before = { ...fleet.store.store.counts }
  await sleep(MEASUREMENT_MS)
  const { reads, writes } = fleet.store.store.counts
  const seconds = MEASUREMENT_MS / SECOND_MS
  console.log(`${name}: ${((reads - before.reads) / seconds).toFixed(2)} reads/s, ${((writes - before.writes) / seconds).toFixed(2)} writes/s`)
}

/** Measures answers during an outage of the store of ten minutes and until `FAULT_MS` after it. */
async function measureOutage (): Promise<void> {
  const fleet = await startEntryProcessFleet(3, 3)
  const stopLoad = startLoad(fleet.entries, IdKind.Dated)
  await sleep(SETTLE_MS)
  fleet.store.store.faults = { down: true, slowMs: 0, loseAnswers: false }
  await sleep(OUTAGE_MS)
  fleet.store.store.faults = { down: false, slowMs: 0, loseAnswers: false }
  await sleep(FAULT_MS)
  const samples = await stopLoad()
  const slowest = Math.max(...samples.map(sample => sample.answeredAtMs - sample.sentAtMs))
  console.log(`store down for 10 minutes: ${JSON.stringify(countKinds(samples))}, slowest answer ${slowest.toFixed(0)} ms`)
  await fleet.stop()
}

interface FaultCase {
  name: string
  idKind: IdKind
  signal?: NodeJS.Signals
  killsAgent?: boolean
}

async function measureFault (fault: FaultCase): Promise<void> {
  const fleet = await startEntryProcessFleet(3, 3)
  const [faultyEntry, ...healthyEntries] = fleet.entries
  const stopLoad = startLoad(healthyEntries, fault.idKind)
  await sleep(SETTLE_MS)
  const faultAtMs = performance.now()
  if (fault.killsAgent === true) fleet.agents[0]!.child.kill('SIGKILL')
  if (fault.signal !== undefined) faultyEntry!.child.kill(fault.signal)
  await sleep(FAULT_MS)
  if (fault.signal === 'SIGSTOP') faultyEntry!.child.kill('SIGCONT')
  const samples = await stopLoad()
  const answeredAfterFault = samples.filter(sample => sample.answeredAtMs > faultAtMs)
  const slowest = Math.max(...answeredAfterFault.map(sample => sample.answeredAtMs - sample.sentAtMs))
  const lastSlow = Math.max(0, ...answeredAfterFault.filter(sample => sample.answeredAtMs - sample.sentAtMs > SECOND_MS).map(sample => sample.answeredAtMs - faultAtMs))
  console.log(`${fault.name}: ${JSON.stringify(countKinds(samples))}, slowest answer ${slowest.toFixed(0)} ms, last answer slower than 1 s at ${lastSlow.toFixed(0)} ms after the fault`)
  await fleet.stop()
}

async function main (): Promise<void> {
  if (process.argv[2] === 'calls') {
    for (const entryCount of [6, 12]) await measureStoreCalls(entryCount)
    return
  }
  if (process.argv[2] === 'outage') {
    await measureOutage()
    return
  }
  await measureFault({ name: 'planned stop, dated', idKind: IdKind.Dated, signal: 'SIGTERM' })
  await measureFault({ name: 'crash, dated', idKind: IdKind.Dated, signal: 'SIGKILL' })
  await measureFault({ name: 'crash, undated', idKind: IdKind.Undated, signal: 'SIGKILL' })
  await measureFault({ name: 'pause of 15 s, dated', idKind: IdKind.Dated, signal: 'SIGSTOP' })
  await measureFault({ name: 'crash of entry and agent, dated', idKind: IdKind.Dated, signal: 'SIGKILL', killsAgent: true })
  await measureFault({ name: 'crash of entry and agent, undated', idKind: IdKind.Undated, signal: 'SIGKILL', killsAgent: true })
}

main().then(() => { process.exit(0) }, thrown => {
  console.error(thrown)
  process.exit(1)
})
