/** Numbered events of links and membership. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  LinkOpened: { code: 8101, level: Info, message: 'link opened' },
  LinkClosed: { code: 8102, level: Warn, message: 'link closed' },
  EntryListed: { code: 8103, level: Info, message: 'entry is listed in the store' },
  EntryListFailed: { code: 8104, level: Warn, message: 'entry could not be listed in the store' },
  EntriesChanged: { code: 8105, level: Info, message: 'list of entries changed' },
  ListUnreadable: { code: 8106, level: Warn, message: 'list of entries could not be read' },
  OwnerSilent: { code: 8107, level: Warn, message: 'entry was silent for too long; its runs are stopped' },
  ConfigInForce: { code: 8108, level: Info, message: 'configuration is in force' },
  ConfigUnreadable: { code: 8109, level: Warn, message: 'configuration could not be read; the one in force stays' },
  StoreLost: { code: 8110, level: Warn, message: 'store can not be reached' },
  StoreRegained: { code: 8111, level: Info, message: 'store can be reached again' }
})
