/** Numbered events of scheduling. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  JobAccepted: { code: 9101, level: Info, message: 'job was accepted' },
  JobEnded: { code: 9102, level: Info, message: 'job ended' },
  JobRefused: { code: 9103, level: Info, message: 'job was refused; nothing of it has started' },
  JobJoined: { code: 9104, level: Info, message: 'job was submitted again and shares the outcome' },
  TasksPlaced: { code: 9105, level: Info, message: 'tasks were sent to agents' },
  TaskReported: { code: 9106, level: Info, message: 'agent reported the end of a task that is not done' },
  TaskMoved: { code: 9107, level: Info, message: 'slow run is stopped and moved' },
  AgentJoined: { code: 9108, level: Info, message: 'agent is linked' },
  AgentAway: { code: 9109, level: Warn, message: 'link to an agent was lost' },
  AgentGone: { code: 9110, level: Warn, message: 'runs of a lost agent are gone' },
  WorkerEjected: { code: 9111, level: Warn, message: 'worker fails too often and gets no tasks' },
  WorkerRestored: { code: 9112, level: Info, message: 'worker gets tasks again' }
})
