/** A trial of the report, no case: during a planned stop of all entries, one that is back first starts a job again that another still runs. Exits like a case. */
import * as os from 'node:os'
import { Fleet, newId, runCase, sleep } from './fleet.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
/** The record goes to the folder for temporary files. */
const folder = os.tmpdir()
const ROUNDS = 5
const WORK_MS = 4_500
const JOB = { spec: JSON.stringify({ ms: WORK_MS, cpu: 1_000 }), steps: [{ count: 2, cpu: 1_000, estimated_ms: WORK_MS }], best_effort: true }
const DEADLINE_MS = 10_000
/** The client sends its request again before it has an answer, to another entry each time. */
const AGAIN_MS = 300
const PAUSE_MS = 4_000

async function playRound (fleet, state) {
  const jobId = newId()
  const runner = fleet.entries.at(-1)
  const others = fleet.entries.slice(0, -1)
  const first = fleet.submit(runner, 'POST', jobId, { body: JOB, deadlineMs: DEADLINE_MS })
  for (let waitedMs = 0; state.started !== jobId; waitedMs += 10) {
    if (waitedMs > 2_000) throw new Error('the job does not start')
    await sleep(10)
  }
  const startedAtMs = fleet.nowMs
  if (hasTrouble) for (const entry of fleet.entries) entry.stopPlanned()
  const again = []
  for (let count = 0; fleet.nowMs - startedAtMs < WORK_MS; count++) {
    await sleep(AGAIN_MS)
    again.push(fleet.submit(others[count % others.length], 'POST', jobId, { body: JOB, deadlineMs: DEADLINE_MS }))
  }
  await Promise.all([first, ...again])
  await sleep(PAUSE_MS)
  await fleet.waitUntilReady()
}

async function play (fleet) {
  const state = { started: undefined, broken: undefined }
  fleet.onStart = (minion, task) => {
    state.started = task.slice(0, 16)
    for (const other of fleet.minions) {
      const run = other === minion || !other.isUp ? undefined : other.running.get(task)
      if (run === undefined) continue
      fleet.note('twice', { task, on: minion.name, also: other.name })
      state.broken ??= `${task} is started on ${minion.name} while it runs on ${other.name}, where it was started ${Math.round(performance.now() - run.startedAtMs)} ms before`
    }
  }
  for (let round = 0; round < ROUNDS && state.broken === undefined; round++) await playRound(fleet, state)
  return state.broken
}

await runCase(folder, new Fleet({ entries: 3, minions: 6 }), play)
