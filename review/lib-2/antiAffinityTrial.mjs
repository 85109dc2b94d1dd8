/** A trial of the report, no case: two minions crash while they run tasks of a step with `anti_affinity` 1. Exits like a case. */
import * as os from 'node:os'
import { Fleet, newId, runCase, sleep } from './fleet.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
/** The record goes to the folder for temporary files. */
const folder = os.tmpdir()
const ROUNDS = 5
/** 0.15 of 11 minions, as the bench's `srv_crash` has without a share. */
const CRASHED = 2
const DOWN_MS = 2_000
const WORK_MS = 600
const CRASH_AFTER_MS = 100
const DEADLINE_MS = 10_000
/** One for each minion. */
const TASKS = 11
const LIMIT = 1
const JOB = { spec: JSON.stringify({ ms: WORK_MS, cpu: 1_000 }), steps: [{ count: TASKS, cpu: 1_000, estimated_ms: WORK_MS, anti_affinity: LIMIT }], best_effort: true }
const PAUSE_MS = 4_000

async function playRound (fleet, entry) {
  const jobId = newId()
  const answer = fleet.submit(entry, 'POST', jobId, { body: JOB, deadlineMs: DEADLINE_MS })
  const isOfJob = task => task.startsWith(jobId)
  const holders = () => fleet.minions.filter(({ running }) => [...running.keys()].some(isOfJob))
  for (let waitedMs = 0; holders().length < TASKS; waitedMs += 5) {
    if (waitedMs > 2_000) throw new Error('the tasks do not start')
    await sleep(5)
  }
  await sleep(CRASH_AFTER_MS)
  const crashed = hasTrouble ? holders().slice(0, CRASHED) : []
  for (const minion of crashed) minion.crash()
  await sleep(DOWN_MS)
  for (const minion of crashed) await minion.start()
  await answer
  await sleep(PAUSE_MS)
}

async function play (fleet) {
  const state = { broken: undefined }
  fleet.onStart = (minion, task) => {
    const [jobId, , step] = task.split('.')
    const together = [...minion.running.keys()].filter(each => each.startsWith(`${jobId}.0.${step}.`))
    if (together.length <= LIMIT) return
    fleet.note('beyond-limit', { minion: minion.name, tasks: together.join(',') })
    state.broken ??= `${minion.name} runs ${together.length} tasks of a step with anti_affinity ${LIMIT}: ${together.join(' ')}`
  }
  for (let round = 0; round < ROUNDS && state.broken === undefined; round++) await playRound(fleet, fleet.entries[round % fleet.entries.length])
  return state.broken
}

await runCase(folder, new Fleet({ entries: 3, minions: 11 }), play)
