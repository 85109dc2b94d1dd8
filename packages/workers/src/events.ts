/** Log events of the agent of a leased worker. */
import * as settings from '@egretvalve/settings'

const { Info, Warn } = settings.LogLevel

export const events = settings.defineEvents({
  WorkerJoined: { code: 10001, level: Info, message: 'session opened with an incarnation of the worker' },
  WorkerDraining: { code: 10002, level: Info, message: 'worker is draining; it gets no new runs' },
  WorkerLeft: { code: 10003, level: Info, message: 'worker left as planned' },
  WorkerUnresponsive: { code: 10004, level: Warn, message: 'worker is unresponsive; its lease is left to expire' },
  WorkerResponsive: { code: 10005, level: Info, message: 'worker answers again' },
  WorkerDown: { code: 10006, level: Warn, message: 'nothing listens at the worker\'s address; its runs are lost' },
  WorkerReplaced: { code: 10007, level: Warn, message: 'another incarnation of the worker answered; runs of the earlier one are lost' },
  ReportIgnored: { code: 10008, level: Warn, message: 'outdated report of a worker was ignored' },
  ReportTimeout: { code: 10009, level: Warn, message: 'worker has stopped reporting' },
  FenceRaised: { code: 10010, level: Warn, message: 'fencing token was refused and has been raised' },
  RunRefused: { code: 10012, level: Info, message: 'worker refused a start' },
  RunUnanswered: { code: 10013, level: Warn, message: 'start was not answered; the run is stopped before it may start elsewhere' },
  RunEnded: { code: 10014, level: Info, message: 'run ended' },
  RunStopping: { code: 10015, level: Info, message: 'run is being stopped' },
  StopUnacknowledged: { code: 10016, level: Warn, message: 'stop is not acknowledged; it is repeated until the run has ended' },
  OrphanedRun: { code: 10017, level: Warn, message: 'orphaned run: worker runs a task that this agent did not start; it is stopped' },
  TaskReturned: { code: 10018, level: Info, message: 'task was returned to its entry without a start' },
  TakenOver: { code: 10019, level: Info, message: 'worker taken over; runs of an earlier incarnation of the agent have ended' },
  WorkerCrashed: { code: 10020, level: Warn, message: 'worker crashed; its active runs are lost' },
  CapacityChanged: { code: 10021, level: Info, message: 'capacity of the worker has changed' },
  RunReappeared: { code: 10022, level: Warn, message: 'worker runs a task whose end has been reported; it is stopped' }
})
