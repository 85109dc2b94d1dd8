/** Numbered events of the agent. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  Started: { code: 2001, level: Info, message: 'agent started' },
  Stopped: { code: 2002, level: Info, message: 'agent stopped' },
  Draining: { code: 2003, level: Info, message: 'agent is draining' },
  BackendAnnounced: { code: 2010, level: Info, message: 'backend server announced itself' },
  BackendLeaving: { code: 2011, level: Info, message: 'backend server is leaving' },
  BackendLeaseExpired: { code: 2012, level: Warn, message: 'lease of the backend server expired' },
  DrainRequested: { code: 2013, level: Info, message: 'operator started a drain of the backend server' },
  DrainEnded: { code: 2014, level: Info, message: 'operator ended the drain of the backend server' },
  LinkOpened: { code: 2020, level: Info, message: 'stream to an entry opened' },
  LinkClosed: { code: 2021, level: Warn, message: 'stream to an entry closed' },
  ClockOff: { code: 2022, level: Warn, message: 'wall clock differs from that of an entry by more than the allowed bound' },
  Fenced: { code: 2023, level: Info, message: 'a new owner of partitions fenced the agent' }
})
