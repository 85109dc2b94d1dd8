/** Verdicts on tasks that were running when workers crashed. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

function refOf (jobId: string): workers.TaskRef {
  return { jobId, step: 0, index: 0 }
}

/** A crash with one running task of each job. `observed` are the jobs whose runs were observed as suspects. */
function createCrash (crashId: string, jobIds: readonly string[], observed: readonly string[] = [], runMs = 50): workers.WorkerCrash {
  return { crashId, kind: workers.CrashKind.Down, runs: jobIds.map(jobId => ({ task: refOf(jobId), queue: 'queue', attempt: 1, earlierCrashes: 0, isObserved: observed.includes(jobId), runMs })) }
}

function createRecords (): { timers: settings.FakeTimers, records: scheduler.CrashRecords } {
  const timers = new settings.FakeTimers()
  return { timers, records: new scheduler.CrashRecords(timers) }
}

describe('crash records', () => {
  it('give up the one task that was observed in a second crash, and none of those that were running in one', () => {
    const { records } = createRecords()
    expect(records.record(createCrash('w-1', ['crashing', 'early']))).to.deep.equal([])
    expect(records.record(createCrash('w-2', ['crashing', 'late'], ['crashing'])).map(({ task }) => task)).to.deep.equal([refOf('crashing')])
    expect(['crashing', 'early', 'late'].map(jobId => records.isGivenUp(refOf(jobId)))).to.deep.equal([true, false, false])
  })

  it('do not give up a bystander of two crashes that was not observed in the second', () => {
    const { records } = createRecords()
    records.record(createCrash('w-1', ['bystander', 'crashing']))
    expect(records.record(createCrash('w-2', ['bystander', 'crashing'], ['crashing'])).map(({ task }) => task)).to.deep.equal([refOf('crashing')])
  })

  it('give up nothing when several jobs were observed in a second crash, and each of them after a third', () => {
    const { records } = createRecords()
    records.record(createCrash('w-1', ['first', 'second']))
    expect(records.record(createCrash('w-2', ['first', 'second'], ['first', 'second']))).to.deep.equal([])
    expect(records.record(createCrash('w-3', ['first', 'other'])).map(({ task }) => task)).to.deep.equal([refOf('first')])
    expect(records.isGivenUp(refOf('second'))).to.equal(false)
  })

  it('suspect no run that had lasted for long, but give up a task that crashes workers late after the fourth', () => {
    const { records } = createRecords()
    const verdicts = ['w-1', 'w-2', 'w-3', 'w-4'].map(crashId => records.record(createCrash(crashId, ['late'], [], 900)).map(({ task }) => task))
    expect(records.observationMsOf(refOf('late'))).to.equal(0)
    expect(verdicts).to.deep.equal([[], [], [], [refOf('late')]])
  })

  it('count a crash once that is reported twice', () => {
    const { records } = createRecords()
    for (let report = 0; report < 4; report++) records.record(createCrash('w-1', ['job']))
    expect(records.crashesOf(refOf('job'))).to.equal(1)
  })

  it('count the same crashes alike in whatever order their reports come', () => {
    const history = [0, 1, 2].map(earlierCrashes => ({ ...createCrash(`w-${earlierCrashes}`, []), runs: [{ task: refOf('job'), queue: 'queue', attempt: earlierCrashes + 1, earlierCrashes, isObserved: false, runMs: 900 }] }))
    for (const reports of [history, [...history].reverse(), [history[1]!, history[2]!, history[0]!]]) {
      const { records } = createRecords()
      for (const crash of reports) records.record(crash)
      expect([records.crashesOf(refOf('job')), records.isGivenUp(refOf('job'))]).to.deep.equal([3, false])
    }
  })

  it('suspect a task of the same crashes alike in whatever order their reports come', () => {
    const { records } = createRecords()
    expect(records.record(createCrash('w-2', ['first', 'second'], ['first', 'second']))).to.deep.equal([])
    expect(records.record(createCrash('w-1', ['first', 'second']))).to.deep.equal([])
  })

  it('count the crash that only the entry which ordered the run knew of', () => {
    const { records } = createRecords()
    expect(records.record(createCrash('w-2', ['job'], ['job'])).map(({ task }) => task)).to.deep.equal([refOf('job')])
  })

  it('forget a task that has ended well', () => {
    const { records } = createRecords()
    records.record(createCrash('w-1', ['job']))
    records.clear(refOf('job'))
    expect(records.record(createCrash('w-2', ['job']))).to.deep.equal([])
    expect(records.isGivenUp(refOf('job'))).to.equal(false)
  })

  it('expire, and stay bounded', () => {
    const { timers, records } = createRecords()
    records.record(createCrash('w-1', ['job']))
    timers.advance(61_000)
    records.record(createCrash('w-2', ['other']))
    expect(records.crashesOf(refOf('job'))).to.equal(0)
    for (let crash = 0; crash < 300; crash++) records.record(createCrash(`many-${crash}`, Array.from({ length: 50 }, (_, index) => `job-${crash}-${index}`)))
    expect(records.crashesOf(refOf('job-0-0'))).to.equal(0)
    expect(records.crashesOf(refOf('job-299-49'))).to.equal(1)
  })
})
