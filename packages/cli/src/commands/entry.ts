/** `egretvalve entry`: runs an entry. */
import * as entry from '@egretvalve/entry'
import * as platform from '@egretvalve/platform'
import { createSettingsCommand } from '../command.ts'
import { runProcess, type ProcessServices } from './process.ts'

/** Timeout of a call to the store. */
const STORE_TIMEOUT_MS = 2_000

function createProgram (values: entry.EntrySettings, services: ProcessServices): entry.Entry {
  const store = values.storeAddress === ''
    ? undefined
    : platform.createStoreClient({ address: values.storeAddress, timeoutMs: STORE_TIMEOUT_MS, timers: services.timers })
  return entry.createEntry(values, { ...services, store })
}

export const entryCommand = createSettingsCommand({
  name: 'entry',
  usage: 'egretvalve entry [settings]',
  summary: 'Runs an entry: HTTP for callers and administrators, dispatch of tasks to agents.',
  definition: entry.entryDefinition,
  run: async (values, _positionals, streams) => {
    let program: entry.Entry
    return await runProcess('entry', values, streams, services => {
      program = createProgram(values, services)
      return program
    }, () => `entry ${values.nodeId} listens on http ${program.httpAddress} and link ${program.linkAddress}`)
  }
})
