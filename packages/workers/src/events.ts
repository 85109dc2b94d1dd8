/** Numbered events of the agent of a leased worker. */
import * as settings from '@egretvalve/settings'

const { Info, Warn, Debug } = settings.LogLevel

export const events = settings.defineEvents({
  WorkerJoined: { code: 2101, level: Info, message: 'a life of the worker reported itself' },
  WorkerDraining: { code: 2102, level: Info, message: 'worker is draining; it gets no new runs' },
  WorkerLeft: { code: 2103, level: Info, message: 'worker left as planned' },
  WorkerSilent: { code: 2104, level: Warn, message: 'worker does not answer; its lease is left to lapse' },
  WorkerAnswers: { code: 2105, level: Info, message: 'worker answers again' },
  WorkerDown: { code: 2106, level: Warn, message: 'nothing listens at the worker\'s address; its runs are gone' },
  WorkerReplaced: { code: 2107, level: Warn, message: 'another life of the worker answered; earlier runs are gone' },
  ReportIgnored: { code: 2108, level: Warn, message: 'report of a worker was ignored' },
  ReportTimeout: { code: 2109, level: Warn, message: 'worker has not reported for too long' },
  FenceRaised: { code: 2110, level: Warn, message: 'fencing token was refused and is raised' },
  RunRefused: { code: 2112, level: Info, message: 'worker refused a start' },
  RunUnanswered: { code: 2113, level: Warn, message: 'start was not answered; the run is stopped before it may start elsewhere' },
  RunEnded: { code: 2114, level: Info, message: 'run ended' },
  RunStopping: { code: 2115, level: Info, message: 'run is stopped' },
  StopUnacknowledged: { code: 2116, level: Warn, message: 'stop was not acknowledged; the lease ends the run' },
  StrayRun: { code: 2117, level: Warn, message: 'worker runs a task that this agent did not start; it is stopped' },
  TaskReturned: { code: 2118, level: Info, message: 'task was returned to its entry without a start' },
  TakenOver: { code: 2119, level: Info, message: 'runs of an earlier life of the agent are gone' },
  OwnerDropped: { code: 2120, level: Warn, message: 'entry is silent; its runs are stopped' },
  TaskQueued: { code: 2121, level: Debug, message: 'task waits for room' }
})
