/** Causes that the analysis of logs names. */
import { expect } from 'chai'
import * as analysis from '@egretvalve/analysis'
import * as scheduler from '@egretvalve/scheduler'

const { JobAccepted, JobEnded, TaskGivenUp } = scheduler.events

function createLine (atMs: number, event: number, nodeId: string, fields: object): string {
  return JSON.stringify({ timestamp: new Date(atMs).toISOString(), event, nodeId, jobId: 'job', ...fields })
}

describe('the analysis of a job that failed', () => {
  it('names the crashes of the workers that ran one of its tasks', () => {
    const lines = [
      createLine(1_000, JobAccepted.code, 'entry-1', { service: 'spares', tasks: 2, dueInMs: 200, deadlineMs: 2_000 }),
      createLine(1_100, TaskGivenUp.code, 'entry-2', { step: 0, index: 1, crashes: 2 }),
      createLine(1_100, TaskGivenUp.code, 'entry-1', { step: 0, index: 1, crashes: 2 }),
      createLine(1_100, JobEnded.code, 'entry-1', { outcome: 'failed', reason: 'task 0.1 given up: 2 workers crashed while they ran it' })
    ]
    expect(analysis.analyzeLogs(lines, 1_000).submissions.map(({ verdict, cause }) => [verdict, cause])).to.deep.equal([[analysis.Verdict.Failed, analysis.Cause.TaskCrashedWorker]])
  })
})
