/** Settings of the agent. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'

export interface AgentSettings extends runtime.ProcessSettings {
  nodeId: string
  region: string
  failureDomain: string
  rack: string
  /** Loopback address on which the backend server announces itself. */
  announceListen: string
  /** Link addresses of some entries; their entry lists supply the others. */
  entries: string[]
  /** Tasks that may wait at the agent beyond its free slots; further ones are refused, so that entries send them to other agents. */
  queueDepth: number
  /** Time for which starts and results are retained. */
  retentionMs: number
  /** Memory limit of the start record. */
  recordMaxBytes: number
}

const MAX_STOP_LIMIT_MS = 3_600_000
const MAX_RECORD_BYTES = 1024 * 1024 * 1024

export const agentDefinition: settings.SettingsDefinition<AgentSettings> = {
  nodeId: settings.text('Id of this agent; stable across restarts.', 'a name such as agent-7', 'agent'),
  region: settings.text('Region of this worker.', 'a name such as gr-attica', 'local'),
  failureDomain: settings.text('Failure domain of this worker.', 'a name such as attica-a', 'local-a'),
  rack: settings.text('Rack of this worker.', 'a name such as rack-1', 'rack-1'),
  announceListen: settings.address('Loopback address for the backend server\'s announcement.', '127.0.0.1:7200'),
  entries: settings.addressList('Link addresses of some entries.', '127.0.0.1:7100'),
  queueDepth: settings.wholeNumber('Tasks that may wait at the agent beyond its free slots.', 'tasks', 0, 1_000, '0'),
  retentionMs: settings.wholeNumber('Time for which starts and results are kept.', 'milliseconds', 1_000, MAX_STOP_LIMIT_MS, String(protocol.RETENTION_MS)),
  recordMaxBytes: settings.wholeNumber('Memory for the record of starts and results.', 'bytes', 1_000_000, MAX_RECORD_BYTES, '100000000'),
  ...runtime.processDefinition
}

/** Resolves settings for embedded use: the defaults with some values replaced. */
export function resolveAgentDefaults (overrides: Partial<AgentSettings>): AgentSettings {
  const defaults = settings.resolveSettings(agentDefinition, [], {}).unwrap().values
  return { ...defaults, ...overrides }
}
