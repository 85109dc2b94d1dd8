/** Numbered events of scheduling. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  JobAccepted: { code: 11001, level: Info, message: 'job was accepted' },
  JobEnded: { code: 11002, level: Info, message: 'job ended' },
  JobRefused: { code: 11003, level: Info, message: 'job was refused; nothing of it has started' },
  JobJoined: { code: 11004, level: Info, message: 'job was submitted again and shares the outcome' },
  TasksPlaced: { code: 11005, level: Info, message: 'tasks were sent to agents' },
  TaskReported: { code: 11006, level: Info, message: 'agent reported the end of a task that is not done' },
  TaskMoved: { code: 11007, level: Info, message: 'slow run is stopped and moved' },
  AgentJoined: { code: 11008, level: Info, message: 'agent is linked' },
  AgentAway: { code: 11009, level: Warn, message: 'link to an agent was lost' },
  AgentGone: { code: 11010, level: Warn, message: 'runs of a lost agent are gone' },
  WorkerEjected: { code: 11011, level: Warn, message: 'worker fails too often and gets no tasks' },
  WorkerRestored: { code: 11012, level: Info, message: 'worker gets tasks again' }
})
