/** Log events of the entry. Their codes are stable. */
import * as settings from '@egretvalve/settings'

const { Info, Warn, Debug } = settings.LogLevel

export const events = settings.defineEvents({
  Started: { code: 1001, level: Info, message: 'entry started' },
  Stopped: { code: 1002, level: Info, message: 'entry stopped' },
  Draining: { code: 1003, level: Info, message: 'entry is draining' },
  AgentConnected: { code: 1010, level: Info, message: 'agent connected' },
  AgentDisconnected: { code: 1011, level: Warn, message: 'agent disconnected' },
  AgentLeft: { code: 1012, level: Info, message: 'agent left after a planned shutdown' },
  AgentLost: { code: 1013, level: Warn, message: 'agent lost: this incarnation did not reconnect; the outcome of its tasks is unknown' },
  ClockOff: { code: 1014, level: Warn, message: 'wall clock of an agent differs from the entry\'s by more than the allowed offset' },
  PeerConnected: { code: 1020, level: Info, message: 'stream to another entry opened' },
  PeerDisconnected: { code: 1021, level: Warn, message: 'stream to another entry closed' },
  SubmissionAccepted: { code: 1030, level: Debug, message: 'submission accepted' },
  SubmissionRefused: { code: 1031, level: Info, message: 'submission refused' },
  SubmissionAnswered: { code: 1032, level: Debug, message: 'submission answered' },
  RecordsEvicted: { code: 1033, level: Warn, message: 'answers evicted before the retention time because the memory limit was reached' }
})
