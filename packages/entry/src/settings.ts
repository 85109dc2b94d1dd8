/** Settings of the entry. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import * as zod from 'zod'
import { GRANT_FORMAT, parseGrants, type TokenGrant } from './admin/access.ts'

/** Resolved settings of an entry. */
export interface EntrySettings extends runtime.ProcessSettings {
  nodeId: string
  region: string
  failureDomain: string
  /** Address of the HTTP APIs. */
  httpListen: string
  /** Address for agents and other entries. */
  linkListen: string
  /** Address of the platform's store. If empty, the entry runs standalone. */
  storeAddress: string
  /** Link addresses of other entries, from which this entry gets the configuration if it starts while the store is down. */
  peers: string[]
  /** Maximum time that a call may wait for its answer, in milliseconds. */
  maxWaitMs: number
  /** Time limit for a request to arrive completely, in milliseconds. */
  requestTimeoutMs: number
  /** Deadline of submissions without one, in milliseconds after their arrival. */
  defaultDeadlineMs: number
  maxBodyBytes: number
  /** Time for which answers are retained, in milliseconds. */
  retentionMs: number
  /** Memory limit for retained answers, in bytes. */
  recordMaxBytes: number
  /** Time for a disconnected agent to reconnect before its tasks are reported unknown, in milliseconds. */
  agentGraceMs: number
  /** Access tokens of the administration API, given as digests. */
  adminTokens: TokenGrant[]
  /** Grants every administration request the administrator role. For development only. */
  openAdmin: boolean
  /** Refuses submissions of teams without a configuration. */
  requireConfig: boolean
}

const MAX_DURATION_MS = 3_600_000
const MAX_RECORD_BYTES = 4 * 1024 * 1024 * 1024

/** Defines a setting of comma-separated access token grants. */
function tokenGrants (help: string): settings.SettingDefinition<TokenGrant[]> {
  const schema = zod.string().refine(text => parseGrants(text).ok).transform(text => parseGrants(text).unwrap())
  return { schema, defaultText: '', help, expects: `${GRANT_FORMAT}, separated by commas` }
}

export const entryDefinition: settings.SettingsDefinition<EntrySettings> = {
  nodeId: settings.text('Id of this entry; stable across restarts.', 'a name such as entry-1', 'entry'),
  region: settings.text('Region of this VM.', 'a name such as gr-attica', 'local'),
  failureDomain: settings.text('Failure domain of this VM.', 'a name such as attica-a', 'local-a'),
  httpListen: settings.address('Address for callers and administrators.', '127.0.0.1:7000'),
  linkListen: settings.address('Address for agents and other entries.', '127.0.0.1:7100'),
  storeAddress: settings.text('Address of the platform\'s store; empty runs alone.', 'an IPv4 address and port', ''),
  peers: settings.addressList('Link addresses of some other entries; needed only to start while the store is down.', ''),
  maxWaitMs: settings.wholeNumber('Longest wait for an answer in one call.', 'milliseconds', 0, MAX_DURATION_MS, '120000'),
  requestTimeoutMs: settings.wholeNumber('Longest time for a request to arrive.', 'milliseconds', 100, MAX_DURATION_MS, '10000'),
  defaultDeadlineMs: settings.wholeNumber('Deadline of submissions that state none.', 'milliseconds', 1, MAX_DURATION_MS, '60000'),
  maxBodyBytes: settings.wholeNumber('Largest request body.', 'bytes', 1_024, protocol.MAX_BODY_BYTES, String(protocol.MAX_BODY_BYTES)),
  retentionMs: settings.wholeNumber('Time for which answers are kept.', 'milliseconds', 1_000, MAX_DURATION_MS, String(protocol.RETENTION_MS)),
  recordMaxBytes: settings.wholeNumber('Memory for answers that are kept.', 'bytes', 1_000_000, MAX_RECORD_BYTES, '64000000'),
  agentGraceMs: settings.wholeNumber('Time for a disconnected agent to return.', 'milliseconds', 100, MAX_DURATION_MS, '10000'),
  adminTokens: tokenGrants('Tokens of the administration API, as egretvalve token prints them.'),
  openAdmin: settings.flag('Takes every administration request as an administrator\'s; for development.'),
  requireConfig: settings.flag('Refuses submissions of teams without a configuration.'),
  ...runtime.processDefinition
}

/** Returns the default settings with overrides, for embedded use. */
export function resolveEntryDefaults (overrides: Partial<EntrySettings>): EntrySettings {
  const defaults = settings.resolveSettings(entryDefinition, [], {}).unwrap().values
  return { ...defaults, ...overrides }
}
