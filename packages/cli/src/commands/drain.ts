/** `egretvalve drain`: takes a backend server out of service without interrupting its tasks. */
import * as settings from '@egretvalve/settings'
import * as undici from 'undici'
import { createSettingsCommand, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'

interface DrainSettings {
  agent: string
  waitMs: number
  resume: boolean
}

/** Fields of the agent's `/healthz` response that are used here. */
interface AgentHealth {
  acceptsTasks: boolean
  running: number
  queued: number
}

const MAX_WAIT_MS = 3_600_000
const POLL_PERIOD_MS = 200

const definition: settings.SettingsDefinition<DrainSettings> = {
  agent: settings.address('Announcement address of the agent beside the backend server.', '127.0.0.1:7200'),
  waitMs: settings.wholeNumber('Longest wait for the tasks in progress.', 'milliseconds', 0, MAX_WAIT_MS, '60000'),
  resume: settings.flag('Ends the drain: the backend server takes tasks again.')
}

async function readHealth (agent: string): Promise<AgentHealth> {
  const response = await undici.request(`http://${agent}/healthz`)
  return await response.body.json() as AgentHealth
}

async function waitUntilIdle (values: DrainSettings, timers: settings.Timers): Promise<AgentHealth> {
  const deadlineMs = timers.nowMs() + values.waitMs
  let health = await readHealth(values.agent)
  while (health.running + health.queued > 0 && timers.nowMs() < deadlineMs) {
    await timers.sleep(POLL_PERIOD_MS)
    health = await readHealth(values.agent)
  }
  return health
}

async function run (values: DrainSettings, streams: Streams): Promise<number> {
  try {
    const response = await undici.request(`http://${values.agent}/v1/drain`, { method: values.resume ? 'DELETE' : 'PUT' })
    await response.body.dump()
    if (values.resume) {
      streams.out(`resumed: the agent at ${values.agent} takes tasks again`)
      return ExitCode.Success
    }
    const health = await waitUntilIdle(values, new settings.TimerService())
    const remaining = health.running + health.queued
    if (remaining > 0) {
      streams.error(`drain (${values.agent}): ${remaining} tasks are still in progress after ${values.waitMs} ms; wait longer with --wait-ms`)
      return ExitCode.Failure
    }
    streams.out(`drained: the agent at ${values.agent} takes no new tasks and none is in progress`)
    return ExitCode.Success
  } catch (thrown) {
    streams.error(`drain (${values.agent}): ${thrown instanceof Error ? thrown.message : String(thrown)}; check the agent's announcement address`)
    return ExitCode.Failure
  }
}

export const drainCommand = createSettingsCommand<DrainSettings>({
  name: 'drain',
  usage: 'egretvalve drain [settings]',
  summary: 'Takes a backend server out of service: no new tasks, and it waits for those in progress.',
  definition,
  run: async (values, _positionals, streams) => await run(values, streams)
})
