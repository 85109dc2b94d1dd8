/** Verdicts on tasks that were running when workers crashed. */
import { expect } from 'chai'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'

function refOf (jobId: string): workers.TaskRef {
  return { jobId, step: 0, index: 0 }
}

/** Options of a crash; the runs are not observed and 50 ms old by default, no start is unconfirmed, and the crash is one of time 0. */
interface CrashOptions {
  observed?: readonly string[]
  runMs?: number
  crashedAtMs?: number
  /** Jobs with a task whose start was not confirmed. */
  unconfirmed?: readonly string[]
}

/** A crash with one running task of each job. `observed` are the jobs whose runs were observed as suspects. */
function createCrash (crashId: string, jobIds: readonly string[], { observed = [], runMs = 50, crashedAtMs = 0, unconfirmed = [] }: CrashOptions = {}): workers.WorkerCrash {
  const createRun = (jobId: string): workers.LostRun => ({ task: refOf(jobId), queue: 'queue', attempt: 1, earlierCrashes: 0, isObserved: observed.includes(jobId), runMs })
  return { crashId, kind: workers.CrashKind.Down, crashedAtMs, runs: jobIds.map(createRun), unconfirmed: unconfirmed.map(createRun) }
}

interface Bench {
  timers: settings.FakeTimers
  records: scheduler.CrashRecords
  /** Records crashes, lets the time pass in which reports of other crashes are awaited, and returns the jobs that are given up. */
  judge: (...crashes: readonly workers.WorkerCrash[]) => string[]
}

function createBench (): Bench {
  const timers = new settings.FakeTimers()
  const records = new scheduler.CrashRecords(timers)
  const judge = (...crashes: readonly workers.WorkerCrash[]): string[] => {
    const waitsMs = crashes.map(crash => records.record(crash) ?? 0)
    timers.advance(Math.max(...waitsMs))
    return records.judge().flatMap(({ givenUp }) => givenUp.map(({ task }) => task.jobId))
  }
  return { timers, records, judge }
}

describe('crash records', () => {
  it('give up the one task that was observed in a second crash, and none of those that were running in one', () => {
    const { records, judge } = createBench()
    expect(judge(createCrash('w-1', ['crashing', 'early']))).to.deep.equal([])
    expect(judge(createCrash('w-2', ['crashing', 'late'], { observed: ['crashing'] }))).to.deep.equal(['crashing'])
    expect(['crashing', 'early', 'late'].map(jobId => records.isGivenUp(refOf(jobId)))).to.deep.equal([true, false, false])
  })

  it('do not give up a bystander of two crashes that was not observed in the second', () => {
    const { judge } = createBench()
    judge(createCrash('w-1', ['bystander', 'crashing']))
    expect(judge(createCrash('w-2', ['bystander', 'crashing'], { observed: ['crashing'] }))).to.deep.equal(['crashing'])
  })

  it('give up nothing when several jobs were observed in a second crash, and each of them after a third', () => {
    const { records, judge } = createBench()
    judge(createCrash('w-1', ['first', 'second']))
    expect(judge(createCrash('w-2', ['first', 'second'], { observed: ['first', 'second'] }))).to.deep.equal([])
    expect(judge(createCrash('w-3', ['first', 'other']))).to.deep.equal(['first'])
    expect(records.isGivenUp(refOf('second'))).to.equal(false)
  })

  it('suspect no run that had lasted for long, but give up a task that crashes workers late after the fourth', () => {
    const { records, judge } = createBench()
    const verdicts = ['w-1', 'w-2', 'w-3', 'w-4'].map(crashId => judge(createCrash(crashId, ['late'], { runMs: 900 })))
    expect(records.observationMsOf(refOf('late'))).to.equal(0)
    expect(verdicts).to.deep.equal([[], [], [], ['late']])
  })

  it('count a crash once that is reported twice', () => {
    const { records, judge } = createBench()
    for (let report = 0; report < 4; report++) judge(createCrash('w-1', ['job']))
    expect(records.crashesOf(refOf('job'))).to.equal(1)
  })

  it('count the same crashes alike in whatever order their reports come', () => {
    const history = [0, 1, 2].map(earlierCrashes => ({ ...createCrash(`w-${earlierCrashes}`, []), runs: [{ task: refOf('job'), queue: 'queue', attempt: earlierCrashes + 1, earlierCrashes, isObserved: false, runMs: 900 }] }))
    for (const reports of [history, [...history].reverse(), [history[1]!, history[2]!, history[0]!]]) {
      const { records, judge } = createBench()
      for (const crash of reports) judge(crash)
      expect([records.crashesOf(refOf('job')), records.isGivenUp(refOf('job'))]).to.deep.equal([3, false])
    }
  })

  it('suspect a task of the same crashes alike in whatever order their reports come', () => {
    const { judge } = createBench()
    expect(judge(createCrash('w-2', ['first', 'second'], { observed: ['first', 'second'] }))).to.deep.equal([])
    expect(judge(createCrash('w-1', ['first', 'second']))).to.deep.equal([])
  })

  it('count the crash that only the entry which ordered the run knew of', () => {
    const { judge } = createBench()
    expect(judge(createCrash('w-2', ['job'], { observed: ['job'] }))).to.deep.equal(['job'])
  })

  it('hold a task back only while it may be given up', () => {
    const { timers, records } = createBench()
    records.record(createCrash('w-1', ['crashing', 'early']))
    expect(records.awaitsVerdict(refOf('crashing'))).to.equal(false)
    timers.advance(records.record(createCrash('w-2', ['crashing', 'late'], { observed: ['crashing'] }))!)
    expect(['crashing', 'early', 'late'].map(jobId => records.awaitsVerdict(refOf(jobId)))).to.deep.equal([true, false, false])
    records.judge()
    expect(records.awaitsVerdict(refOf('crashing'))).to.equal(false)
  })

  it('give up no task for two crashes at whose moments several other workers crashed, in whatever order the reports come', () => {
    const second = [createCrash('w-4', ['job', 'late'], { observed: ['job'], crashedAtMs: 1_500 }), createCrash('w-5', ['fifth'], { crashedAtMs: 1_540 }), createCrash('w-6', ['sixth'], { crashedAtMs: 1_510 })]
    for (const reports of [second, [...second].reverse()]) {
      const { timers, judge } = createBench()
      expect(judge(createCrash('w-1', ['job', 'first']), createCrash('w-2', ['second']), createCrash('w-3', ['third']))).to.deep.equal([])
      timers.advance(1_540 - timers.nowMs())
      expect(judge(...reports)).to.deep.equal([])
    }
  })

  it('give up a task after a third crash whatever other workers crashed', () => {
    const { timers, judge } = createBench()
    const verdicts = [0, 1_500, 3_000].map(crashedAtMs => {
      timers.advance(crashedAtMs - timers.nowMs())
      return judge(createCrash(`job-${crashedAtMs}`, ['job'], { crashedAtMs }), ...['x', 'y'].map(worker => createCrash(`${worker}-${crashedAtMs}`, [`${worker}-${crashedAtMs}`], { crashedAtMs })))
    })
    expect(verdicts).to.deep.equal([[], [], ['job']])
  })

  it('give up no task for crashes of a group to whose workers it was sent when these were down', () => {
    const { records, judge } = createBench()
    const lost = [createCrash('w-2', [], { observed: ['job'], unconfirmed: ['job'], runMs: 3, crashedAtMs: 30 }), createCrash('w-3', [], { observed: ['job'], unconfirmed: ['job'], runMs: 2, crashedAtMs: 50 })]
    expect(judge(createCrash('w-1', ['job', 'first']), ...lost, createCrash('w-4', ['fourth'], { crashedAtMs: 10 }), createCrash('w-5', ['fifth']))).to.deep.equal([])
    expect(records.observationMsOf(refOf('job'))).to.equal(0)
  })

  it('count no start that no worker confirmed, and give up its task after two crashes that count', () => {
    const { records, judge } = createBench()
    expect(judge(createCrash('w-1', [], { unconfirmed: ['job'], runMs: 3 }))).to.deep.equal([])
    expect(judge(createCrash('w-2', [], { observed: ['job'], unconfirmed: ['job'], runMs: 2, crashedAtMs: 400 }))).to.deep.equal([])
    expect(records.crashesOf(refOf('job'))).to.equal(0)
    expect(judge(createCrash('w-3', ['job'], { runMs: 2, crashedAtMs: 800 }))).to.deep.equal([])
    expect(judge(createCrash('w-4', ['job'], { observed: ['job'], runMs: 2, crashedAtMs: 1_200 }))).to.deep.equal(['job'])
  })

  it('do not count a worker to which the task was under way among the other workers that crashed, in whatever order the reports come', () => {
    const crashes = [createCrash('w-1', [], { unconfirmed: ['job'], runMs: 0 }), createCrash('w-2', ['job'], { runMs: 0, crashedAtMs: 10 }), createCrash('w-3', ['job'], { observed: ['job'], runMs: 0, crashedAtMs: 20 })]
    for (const reports of [crashes, [...crashes].reverse(), [crashes[1]!, crashes[0]!, crashes[2]!]]) {
      const { judge } = createBench()
      expect(judge(...reports)).to.deep.equal(['job'])
    }
  })

  it('count it for the tasks that were not under way to it', () => {
    const { judge } = createBench()
    expect(judge(createCrash('w-1', [], { unconfirmed: ['other'], runMs: 0 }), createCrash('w-2', ['job'], { crashedAtMs: 10 }), createCrash('w-3', ['job'], { observed: ['job'], crashedAtMs: 20 }))).to.deep.equal([])
  })

  it('do not count a crash against a bystander for which a task of another job was given up', () => {
    const { timers, judge } = createBench()
    judge(createCrash('w-1', ['crashing', 'bystander']))
    timers.advance(400 - timers.nowMs())
    expect(judge(createCrash('w-2', ['crashing'], { observed: ['crashing'], crashedAtMs: 400 }))).to.deep.equal(['crashing'])
    timers.advance(900 - timers.nowMs())
    expect(judge(createCrash('w-3', ['bystander'], { observed: ['bystander'], crashedAtMs: 900 }))).to.deep.equal([])
  })

  it('do not count a crash among three against a bystander for which a task of another job was given up', () => {
    const { timers, judge } = createBench()
    judge(createCrash('w-1', ['crashing', 'bystander']))
    timers.advance(400 - timers.nowMs())
    expect(judge(createCrash('w-2', ['crashing'], { observed: ['crashing'], crashedAtMs: 400 }))).to.deep.equal(['crashing'])
    const verdicts = [900, 1_400, 1_900].map(crashedAtMs => {
      timers.advance(crashedAtMs - timers.nowMs())
      return judge(createCrash(`w-${crashedAtMs}`, ['bystander'], { crashedAtMs }), ...['x', 'y'].map(worker => createCrash(`${worker}-${crashedAtMs}`, [`${worker}-${crashedAtMs}`], { crashedAtMs })))
    })
    expect(verdicts).to.deep.equal([[], [], ['bystander']])
  })

  it('lay a crash to the task of a job whose other crashes no other job explains', () => {
    const { timers, judge } = createBench()
    const refs = { first: { jobId: 'job', step: 0, index: 0 }, second: { jobId: 'job', step: 0, index: 1 } }
    const createJobCrash = (crashId: string, crashedAtMs: number, tasks: readonly workers.TaskRef[], others: readonly string[], isObserved: boolean): workers.WorkerCrash => {
      const crash = createCrash(crashId, ['job', ...others], { crashedAtMs })
      const [run, ...rest] = crash.runs
      return { ...crash, runs: [...tasks.map(task => ({ ...run!, task, isObserved })), ...rest] }
    }
    // The second task of the job is aboard of a crash that another job causes; both are lost in the next.
    judge(createJobCrash('w-1', 0, [refs.first], ['bystander'], false))
    timers.advance(400 - timers.nowMs())
    judge(createJobCrash('w-2', 400, [refs.second], ['crashing'], false))
    timers.advance(800 - timers.nowMs())
    expect(judge(createJobCrash('w-3', 800, [refs.first, refs.second], [], true))).to.deep.equal(['job', 'job'])
    timers.advance(1_200 - timers.nowMs())
    expect(judge(createCrash('w-4', ['crashing'], { observed: ['crashing'], crashedAtMs: 1_200 }))).to.deep.equal(['crashing'])
    timers.advance(1_600 - timers.nowMs())
    expect(judge(createCrash('w-5', ['bystander'], { observed: ['bystander'], crashedAtMs: 1_600 }))).to.deep.equal([])
  })

  it('give up a task for two crashes among frequent single ones', () => {
    const { timers, judge } = createBench()
    for (let crash = 0; crash < 150; crash++) {
      judge(createCrash(`w-${crash}`, [`job-${crash}`], { crashedAtMs: timers.nowMs() }))
      timers.advance(5_000 / 150)
    }
    judge(createCrash('x-1', ['crashing'], { crashedAtMs: timers.nowMs() }), ...['y-1', 'y-2'].map(name => createCrash(name, [name], { crashedAtMs: timers.nowMs() })))
    timers.advance(300)
    const crashedAtMs = timers.nowMs()
    expect(judge(createCrash('x-2', ['crashing'], { observed: ['crashing'], crashedAtMs }), ...['z-1', 'z-2'].map(name => createCrash(name, [name], { crashedAtMs })))).to.deep.equal(['crashing'])
  })

  it('forget a task that has ended well', () => {
    const { records, judge } = createBench()
    judge(createCrash('w-1', ['job']))
    records.clear(refOf('job'))
    expect(judge(createCrash('w-2', ['job']))).to.deep.equal([])
    expect(records.isGivenUp(refOf('job'))).to.equal(false)
  })

  it('expire, and stay bounded', () => {
    const { timers, records, judge } = createBench()
    judge(createCrash('w-1', ['job']))
    timers.advance(61_000)
    judge(createCrash('w-2', ['other']))
    expect(records.crashesOf(refOf('job'))).to.equal(0)
    for (let crash = 0; crash < 300; crash++) records.record(createCrash(`many-${crash}`, Array.from({ length: 50 }, (_, index) => `job-${crash}-${index}`)))
    expect(records.crashesOf(refOf('job-0-0'))).to.equal(0)
    expect(records.crashesOf(refOf('job-299-49'))).to.equal(1)
  })
})
