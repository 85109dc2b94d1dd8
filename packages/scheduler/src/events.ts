/** Log events of the scheduler. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  JobAccepted: { code: 11001, level: Info, message: 'job accepted' },
  JobEnded: { code: 11002, level: Info, message: 'job ended' },
  JobRefused: { code: 11003, level: Info, message: 'job refused; none of its tasks has started' },
  JobResubmitted: { code: 11004, level: Info, message: 'resubmitted job shares the outcome of its first submission' },
  TasksPlaced: { code: 11005, level: Info, message: 'tasks sent to agents' },
  TaskNotCompleted: { code: 11006, level: Info, message: 'task ended without completion' },
  TaskMoved: { code: 11007, level: Info, message: 'slow run stopped to move its task to another worker' },
  AgentConnected: { code: 11008, level: Info, message: 'agent connected' },
  AgentDisconnected: { code: 11009, level: Warn, message: 'agent disconnected' },
  AgentLost: { code: 11010, level: Warn, message: 'runs of a disconnected agent marked lost' },
  WorkerEjected: { code: 11011, level: Warn, message: 'worker ejected: it fails too often and gets no tasks' },
  WorkerRestored: { code: 11012, level: Info, message: 'worker no longer ejected: it gets tasks again' },
  TaskGivenUp: { code: 11013, level: Warn, message: 'task given up: workers crash while they run it' },
  QueueContained: { code: 11014, level: Warn, message: 'queue contained: its tasks crash workers, and it keeps only a part of them' },
  QueueReleased: { code: 11015, level: Info, message: 'queue no longer contained' },
  StaleRunStopped: { code: 11016, level: Warn, message: 'runs stopped that their entry no longer wants' },
  RequestLate: { code: 11017, level: Warn, message: 'caller left right after its job was accepted; the request was probably late, and the job may run at another entry' },
  TasksAtLimit: { code: 11018, level: Info, message: 'tasks wait as workers with free capacity have as many of their step as its limit allows' }
})
