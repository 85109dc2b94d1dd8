/** `egretvalve standin-backend`: runs a stand-in backend server. */
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { createSettingsCommand } from '../command.ts'
import { runProcess } from './process.ts'
import { standinProcessDefinition, type StandinProcessSettings } from './standinSettings.ts'

interface BackendSettings extends StandinProcessSettings {
  listen: string
  agentAddress: string
  service: string
  slots: number
  connections: number
  cores: number
  memoryMb: number
  accelerators: number
  rack: string
  leaseMs: number
}

const MAX_SLOTS = 10_000
const MAX_MEMORY_MB = 10_000_000
const MAX_LEASE_MS = 600_000

const definition: settings.SettingsDefinition<BackendSettings> = {
  ...standinProcessDefinition,
  listen: settings.address('Address to listen on.', '127.0.0.1:0'),
  agentAddress: settings.address('Announcement address of the agent beside it.', '127.0.0.1:7200'),
  service: settings.text('Service that it offers.', 'a name', 'spares-shop'),
  slots: settings.wholeNumber('Tasks that it runs at once.', 'slots', 1, MAX_SLOTS, '8'),
  connections: settings.wholeNumber('Connections that it accepts.', 'connections', 1, MAX_SLOTS, '64'),
  cores: settings.decimalNumber('Processor cores.', 'cores', 0, MAX_SLOTS, '30'),
  memoryMb: settings.wholeNumber('Memory.', 'megabytes', 0, MAX_MEMORY_MB, '128000'),
  accelerators: settings.wholeNumber('Accelerators.', 'accelerators', 0, MAX_SLOTS, '0'),
  rack: settings.text('Rack of the worker.', 'a name', 'rack-1'),
  leaseMs: settings.wholeNumber('Length of the announcement\'s lease.', 'milliseconds', 100, MAX_LEASE_MS, '3000')
}

export const standinBackendCommand = createSettingsCommand<BackendSettings>({
  name: 'standin-backend',
  usage: 'egretvalve standin-backend [settings]',
  summary: 'Runs a stand-in backend server, for tests: it takes the time that a task asks for and echoes its body.',
  definition,
  run: async (values, _positionals, streams) => {
    let backend: standin.StandinBackend
    return await runProcess('standin-backend', { ...values, plainText: true }, streams, ({ timers, log }) => {
      backend = standin.createStandinBackend({ ...values, timers, log })
      return { start: async () => await backend.start(), stop: async () => await backend.stop(), describeRemaining: () => 'tasks in progress' }
    }, () => `stand-in backend server listens on ${backend.address}`)
  }
})
