/** Prints what a throttled entry serves at several loads, as a Markdown table. Usage: `npx tsx scripts/goodputCurve.ts`. Requires a build of `target/`. */
import * as http from 'node:http'
import * as settings from '@egretvalve/settings'
import { SoakFleet } from '../platform/test/soak/fleet.ts'
import { RequestEnd, runOpenLoop } from '../platform/test/support/openLoopCallers.ts'
import { throttle } from '../platform/test/support/throttle.ts'

const WORK_MS = 60
const DEADLINE_MS = 1_500
const CORE_SHARE = { runMs: 7, pauseMs: 43 }
const JOBS_PER_S = [10, 20, 30, 40, 60, 80, 120]
const PHASE_MS = 5_000
const WARM_UP = { jobsPerS: 100, durationMs: 6_000 }
/** Calm load between two phases, so that each begins without a backlog. */
const CALM = { jobsPerS: 5, durationMs: 3_000 }

async function main (): Promise<void> {
  const timers = new settings.TimerService()
  const fleet = new SoakFleet({ entries: 1, agents: 8, net: 52 }, () => WORK_MS)
  const agent = new http.Agent({ keepAlive: true, maxSockets: Number.POSITIVE_INFINITY })
  await fleet.start()
  await timers.sleep(3_000)
  const entry = fleet.entries[0]!
  let firstId = 0
  const play = async (load: { jobsPerS: number, durationMs: number }): ReturnType<typeof runOpenLoop> => {
    firstId += 10_000
    return await runOpenLoop({ frontend: entry.frontend, deadlineMs: DEADLINE_MS, tasks: 3, estimatedMs: WORK_MS, firstId, ...load }, agent)
  }
  await play(WARM_UP)
  const endThrottling = throttle(entry.process, CORE_SHARE)
  process.stdout.write('| jobs a second | served a second | refused | left without an answer | median of the served, ms |\n|---|---|---|---|---|\n')
  for (const jobsPerS of JOBS_PER_S) {
    await play(CALM)
    const records = await play({ jobsPerS, durationMs: PHASE_MS })
    const share = (end: RequestEnd): string => (records.filter(record => record.end === end).length / records.length).toFixed(3)
    const served = records.filter(record => record.end === RequestEnd.Succeeded).map(record => record.durationMs).sort((left, right) => left - right)
    process.stdout.write(`| ${jobsPerS} | ${(served.length * 1_000 / PHASE_MS).toFixed(1)} | ${share(RequestEnd.Refused)} | ${share(RequestEnd.Abandoned)} | ${Math.round(served[Math.floor(served.length / 2)] ?? 0)} |\n`)
  }
  await endThrottling()
  agent.destroy()
  await fleet.stop()
}

main().then(() => { process.exit(0) }, thrown => {
  process.stderr.write(`${String(thrown)}\n`)
  process.exit(1)
})
