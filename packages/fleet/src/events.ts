/** Numbered events of links and membership. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  LinkOpened: { code: 12001, level: Info, message: 'link opened' },
  LinkClosed: { code: 12002, level: Warn, message: 'link closed' },
  EntryListed: { code: 12003, level: Info, message: 'entry is listed in the store' },
  EntryListFailed: { code: 12004, level: Warn, message: 'entry could not be listed in the store' },
  EntriesChanged: { code: 12005, level: Info, message: 'list of entries changed' },
  ListUnreadable: { code: 12006, level: Warn, message: 'list of entries could not be read' },
  OwnerSilent: { code: 12007, level: Warn, message: 'entry was silent for too long; its runs are stopped' },
  ConfigInForce: { code: 12008, level: Info, message: 'configuration is in force' },
  ConfigUnreadable: { code: 12009, level: Warn, message: 'configuration could not be read; the one in force stays' },
  StoreLost: { code: 12010, level: Warn, message: 'store can not be reached' },
  AddressRefused: { code: 12012, level: Warn, message: 'address of an entry is not an IP number and port' },
  StoreRegained: { code: 12011, level: Info, message: 'store can be reached again' }
})
