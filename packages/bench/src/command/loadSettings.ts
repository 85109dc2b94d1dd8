/** Settings of `egretvalve load` and `egretvalve replay`. */
import * as settings from '@egretvalve/settings'
import { ProfileName } from '../plan.ts'
import { PolicyName } from '../record.ts'
import * as zod from 'zod'

/** Settings of the fleet under test. */
export interface FleetSettings {
  entries: number
  servers: number
  /** Slots of each backend server. */
  slots: number
  inProcess: boolean
  entryAddresses: string[]
  announceAddresses: string[]
}

/** Settings of `egretvalve load`. */
export interface LoadSettings extends FleetSettings {
  profile: ProfileName
  seed: number
  policy: PolicyName[]
  seconds: number
  teams: number
  trace: string
  saveTrace: string
  json: string
  report: string
  slopes: boolean
  windowMs: number
  restWindowMs: number
}

/** Settings of `egretvalve replay`. */
export interface ReplaySettings extends FleetSettings {
  trace: string
  json: string
}

const MAX_ENTRIES = 12
const MAX_SERVERS = 300
const MAX_SLOTS = 1_000
const MAX_SECONDS = 600
const MAX_WINDOW_MS = 120_000
const MAX_TEAMS = 1_000
const MAX_SEED = 2 ** 31 - 1

function policyList (help: string, defaultText: string): settings.SettingDefinition<PolicyName[]> {
  const schema = zod.string()
    .transform(text => text.split(','))
    .pipe(zod.array(zod.enum(PolicyName)).min(1))
  return { schema, defaultText, help, expects: `names separated by commas out of ${Object.values(PolicyName).join(', ')}` }
}

const fleetDefinition: settings.SettingsDefinition<FleetSettings> = {
  entries: settings.wholeNumber('Entries to run.', 'entries', 1, MAX_ENTRIES, '3'),
  servers: settings.wholeNumber('Stand-in backend servers to run, each with an agent.', 'backend servers', 1, MAX_SERVERS, '10'),
  slots: settings.wholeNumber('Slots of each backend server.', 'slots', 1, MAX_SLOTS, '8'),
  inProcess: settings.flag('Runs entries and agents in this process, as the executable always does; in the repository, npm run load gives each a process of its own.'),
  entryAddresses: settings.addressList('HTTP addresses of entries that already run, in place of own ones.', ''),
  announceAddresses: settings.addressList('Announcement addresses of agents that already run, one for each server.', '')
}

export const loadDefinition: settings.SettingsDefinition<LoadSettings> = {
  profile: settings.choice('Kind of load.', ProfileName, ProfileName.Shop),
  seed: settings.wholeNumber('Seed of the trace.', 'seed', 0, MAX_SEED, '1'),
  policy: policyList('Dispatchers to compare on the same trace.', PolicyName.Egretvalve),
  ...fleetDefinition,
  seconds: settings.decimalNumber('Length of the trace.', 'seconds', 0.1, MAX_SECONDS, '9'),
  teams: settings.wholeNumber('Teams that submit.', 'teams', 1, MAX_TEAMS, '3'),
  trace: settings.text('JSON Lines file to replay in place of a profile.', 'a path', ''),
  saveTrace: settings.text('File to which the trace is written.', 'a path', ''),
  json: settings.text('File to which the measures are written as JSON.', 'a path', ''),
  report: settings.text('File to which the report is written as HTML.', 'a path', ''),
  slopes: settings.flag('Measures costs against sizes in place of a load; only with npm run load in the repository, which starts the processes that it measures.'),
  windowMs: settings.wholeNumber('Length of each window of --slopes with work.', 'milliseconds', 500, MAX_WINDOW_MS, '5000'),
  restWindowMs: settings.wholeNumber('Length of each window of --slopes at rest.', 'milliseconds', 500, MAX_WINDOW_MS, '60000')
}

export const replayDefinition: settings.SettingsDefinition<ReplaySettings> = {
  trace: settings.text('JSON Lines file with the expected answers.', 'a path'),
  ...fleetDefinition,
  json: settings.text('File to which the outcomes are written as JSON.', 'a path', '')
}
