/** `egretvalve standin-store`: runs a stand-in for the platform's key-value service. */
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import { createSettingsCommand } from '../command.ts'
import { runProcess } from './process.ts'
import { standinProcessDefinition, type StandinProcessSettings } from './standinSettings.ts'

interface StoreSettings extends StandinProcessSettings {
  listen: string
}

export const standinStoreCommand = createSettingsCommand<StoreSettings>({
  name: 'standin-store',
  usage: 'egretvalve standin-store [settings]',
  summary: 'Runs a stand-in for the platform\'s key-value service, for tests.',
  definition: { ...standinProcessDefinition, listen: settings.address('Address to listen on.', '127.0.0.1:7300') },
  run: async (values, _positionals, streams) => {
    let store: standin.StandinStore
    return await runProcess('standin-store', { ...values, plainText: true }, streams, ({ timers, log }) => {
      store = standin.createStandinStore({ listen: values.listen, timers, log })
      return { start: async () => await store.start(), stop: async () => await store.stop(), describeRemaining: () => 'nothing' }
    }, () => `stand-in store listens on ${store.address}`)
  }
})
