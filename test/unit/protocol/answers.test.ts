import { expect } from 'chai'
import * as protocol from '@egretvalve/protocol'

const { TASK_STATE_FINISHED: FINISHED, TASK_STATE_FAILED: FAILED } = protocol.wire.TaskState

describe('createFinalAnswer', () => {
  const key = { team: 'shop', submissionId: 'a' }

  it('is complete if every task finished', () => {
    const answer = protocol.createFinalAnswer(key, [{ index: 0, state: FINISHED, body: Buffer.from('x') }])
    expect(answer.code).to.equal(protocol.AnswerCode.Complete)
  })

  it('carries no partial results if a task failed', () => {
    const answer = protocol.createFinalAnswer(key, [{ index: 0, state: FINISHED, body: Buffer.from('x') }, { index: 1, state: FAILED }])
    expect(answer.code).to.equal(protocol.AnswerCode.TasksFailed)
    expect(answer.tasks!.every(task => task.body === undefined)).to.equal(true)
  })
})

describe('submissionTimeMs', () => {
  it('returns the creation time of a version 7 UUID', () => {
    const beforeMs = Date.now()
    const timeMs = protocol.submissionTimeMs(protocol.createSubmissionId())
    expect(timeMs).to.be.within(beforeMs, Date.now())
  })

  it('returns undefined for any other id', () => {
    expect(protocol.submissionTimeMs('order-17')).to.equal(undefined)
    expect(protocol.submissionTimeMs('7f2c1c1e-8f0e-4b1e-9c3e-0f5f3a1b2c3d')).to.equal(undefined)
  })
})
