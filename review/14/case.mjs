/** Two of eleven minions crash while a step with `anti_affinity` 1 runs on all of them. */
import { runCase } from '../lib-3/fleet.mjs'
import { nowMs, sleep } from '../lib-3/standins.mjs'

const MINIONS = 11
const CRASHED = 2
const LIMIT = 1
const WORK_MS = 600
const CRASH_AFTER_MS = 100
const DOWN_MS = 2_000
const ROUNDS = 4
const BODY = { spec: 'x', best_effort: true, steps: [{ count: MINIONS, cpu: 1_000, memory_request_mb: 64, estimated_ms: WORK_MS, anti_affinity: LIMIT }] }

/** Returns the moments at which a minion ran more tasks of a job's only step than its limit. */
function findBeyondLimit (records, jobId) {
  const running = new Map()
  const beyond = []
  for (const { atMs, what, minion, task } of records) {
    if ((what !== 'start' && what !== 'end') || !task.startsWith(jobId)) continue
    const tasks = running.get(minion) ?? new Set()
    running.set(minion, tasks)
    if (what === 'end') tasks.delete(task)
    else tasks.add(task)
    if (what === 'start' && tasks.size > LIMIT) beyond.push({ atMs, minion, tasks: [...tasks] })
  }
  return beyond
}

async function play (fleet, hasTrouble) {
  await sleep(2_000)
  const beyond = []
  for (let round = 1; round <= ROUNDS && beyond.length === 0; round++) {
    const jobId = round.toString(16).padStart(16, 'f')
    const answer = fleet.submit(fleet.entries[round % fleet.entries.length], jobId, BODY, { deadlineMs: 10_000, timeoutMs: 12_000 })
    const untilMs = nowMs() + 2_000
    while (fleet.startsOf(jobId).length < MINIONS) {
      if (nowMs() > untilMs) return { code: 2, reason: 'the tasks did not start' }
      await sleep(5)
    }
    await sleep(CRASH_AFTER_MS)
    const crashed = hasTrouble ? fleet.minions.slice(round, round + CRASHED) : []
    for (const minion of crashed) minion.crash()
    await sleep(DOWN_MS)
    for (const minion of crashed) await minion.restart()
    await answer
    beyond.push(...findBeyondLimit(fleet.records, jobId))
    await sleep(3_000)
  }
  for (const each of beyond) fleet.record({ what: 'beyond the limit', ...each })
  return { code: beyond.length > 0 ? 1 : 0, reason: beyond.length > 0 ? `${beyond[0].minion} ran ${beyond[0].tasks.join(' and ')} at the same time, of a step with anti_affinity ${LIMIT}` : `no minion ran more than ${LIMIT} task of a step in ${ROUNDS} rounds` }
}

await runCase({ folder: import.meta.dirname, options: { entries: 3, agents: MINIONS, workMsOf: () => ({ workMs: WORK_MS, size: { cpu: 1_000, memory_request_mb: 64 } }) }, play })
