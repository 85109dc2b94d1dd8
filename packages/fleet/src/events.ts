/** Log events of links and membership. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  LinkOpened: { code: 12001, level: Info, message: 'link opened' },
  LinkClosed: { code: 12002, level: Warn, message: 'link closed' },
  EntryRegistered: { code: 12003, level: Info, message: 'entry registered in the store' },
  EntryRegistrationFailed: { code: 12004, level: Warn, message: 'entry could not be registered in the store' },
  EntriesChanged: { code: 12005, level: Info, message: 'list of entries changed' },
  EntryListUnreadable: { code: 12006, level: Warn, message: 'list of entries could not be read' },
  OwnerUnresponsive: { code: 12007, level: Warn, message: 'entry unresponsive; its runs are stopped' },
  ConfigInForce: { code: 12008, level: Info, message: 'configuration applied' },
  ConfigUnreadable: { code: 12009, level: Warn, message: 'configuration could not be decoded; the current one stays in force' },
  StoreUnreachable: { code: 12010, level: Warn, message: 'store unreachable' },
  StoreReachable: { code: 12011, level: Info, message: 'store reachable again' },
  AddressRefused: { code: 12012, level: Warn, message: 'entry address refused: not an IP address and port' },
  StepFailed: { code: 12013, level: Warn, message: 'step of a loop failed with an exception; the loop continues' },
  EntryUnusable: { code: 12014, level: Warn, message: 'entry of another writer in the list; it is not used' },
  CancellationUnpublished: { code: 12015, level: Warn, message: 'other entries could not be told of a cancelled job' },
  CancellationReceived: { code: 12016, level: Info, message: 'job was cancelled at another entry' },
  ClaimLinkOpened: { code: 12017, level: Info, message: 'link to another entry opened for claims' },
  ClaimLinkClosed: { code: 12018, level: Warn, message: 'link to another entry closed' },
  EvacuationsChanged: { code: 12019, level: Warn, message: 'evacuated failure domains changed; no task starts in these' },
  HandOverCounts: { code: 12021, level: Info, message: 'jobs were handed over to other entries, or taken from them, in the last second' },
  HandOverLinkOpened: { code: 12022, level: Info, message: 'link to another entry opened for handing jobs over' },
  HandOverLinkClosed: { code: 12023, level: Warn, message: 'link to another entry for handing jobs over closed; jobs that it had not answered are left without an answer' }
})
