/** `egretvalve dev`: runs a development fleet in one process. */
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import { createSettingsCommand, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'
import { runDemo } from '../dev/demo.ts'
import { DevFleet } from '../dev/fleet.ts'

interface DevSettings {
  entries: number
  servers: number
  slots: number
  service: string
  region: string
  httpPort: number
  demo: boolean
  stopLimitMs: number
  logLevel: settings.LogLevel
}

const MAX_ENTRIES = 12
const MAX_SERVERS = 100
const MAX_SLOTS = 1_000
const MAX_STOP_LIMIT_MS = 600_000

const definition: settings.SettingsDefinition<DevSettings> = {
  entries: settings.wholeNumber('Entries to run.', 'entries', 1, MAX_ENTRIES, '2'),
  servers: settings.wholeNumber('Stand-in backend servers to run, each with an agent.', 'backend servers', 1, MAX_SERVERS, '10'),
  slots: settings.wholeNumber('Slots of each backend server.', 'slots', 1, MAX_SLOTS, '8'),
  service: settings.text('Service that the backend servers offer.', 'a name', 'spares-shop'),
  region: settings.text('Region of the fleet.', 'a name', 'gr-attica'),
  httpPort: settings.wholeNumber('First port of the entries\' HTTP addresses; 0 takes free ports.', 'port', 0, 65_000, '0'),
  demo: settings.flag('Runs the demonstration job and ends.'),
  stopLimitMs: settings.wholeNumber('Longest time for a planned stop.', 'milliseconds', 0, MAX_STOP_LIMIT_MS, '60000'),
  logLevel: settings.choice('Least severe event that is logged.', settings.LogLevel, settings.LogLevel.Error)
}

async function run (values: DevSettings, streams: Streams): Promise<number> {
  const timers = new settings.TimerService()
  const log = settings.createLog('dev', 'dev', values.logLevel)
  const fleet = new DevFleet({ ...values, timers, log })
  await fleet.start()
  for (const running of fleet.entries) streams.out(`${running.entryId} listens on http://${running.httpAddress}`)
  streams.out(`${values.servers} stand-in backend servers with ${values.slots} slots each offer ${values.service}`)
  if (values.demo) return await demonstrate(values, fleet, timers, streams)
  streams.out('stop with Ctrl+C')
  return await runtime.runUntilSignal(fleet, { timers, stopLimitMs: values.stopLimitMs, print: streams.error })
}

async function demonstrate (values: DevSettings, fleet: DevFleet, timers: settings.Timers, streams: Streams): Promise<number> {
  const isSuccess = await runDemo({ fleet, service: values.service, slotCount: values.servers * values.slots, timers, print: streams.out })
  await fleet.stop()
  return isSuccess ? ExitCode.Success : ExitCode.Failure
}

export const devCommand = createSettingsCommand<DevSettings>({
  name: 'dev',
  usage: 'egretvalve dev [settings]',
  summary: 'Runs a stand-in store, entries, agents and stand-in backend servers in one process.',
  definition,
  run: async (values, _positionals, streams) => await run(values, streams)
})
