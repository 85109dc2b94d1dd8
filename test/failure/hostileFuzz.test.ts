import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import * as fleets from '../fixtures/fleet.ts'
import { exchangeRaw } from '../fixtures/rawSocket.ts'

const SEED = 20_261_204
const JOBS = 20
const TASKS_PER_JOB = 10
const BURSTS = 150
/** Time after which the test closes a connection that is still open. */
const DROP_MS = 40
const HTTP2_PREFACE = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n')

enum Target {
  CallerApi = 'caller API',
  Link = 'link',
  Announcement = 'announcement'
}

/** Bytes sent to one socket over one connection. */
interface Burst {
  target: Target
  bytes: Buffer
  endAfter: boolean
}

const submission = Buffer.from(JSON.stringify(fleets.createJob({ submissionId: 'fuzz' })))
const announcement = Buffer.from(JSON.stringify({ service: 'parts', address: '127.0.0.1:9', slots: 8, connections: 8, leaseMs: 1000 }))

function createHead (method: string, path: string, lengthBytes: number): Buffer {
  return Buffer.from(`${method} ${path} HTTP/1.1\r\nhost: node\r\ncontent-length: ${lengthBytes}\r\n\r\n`)
}

const validRequests = [
  Buffer.concat([createHead('POST', '/v1/jobs', submission.length), submission]),
  Buffer.concat([createHead('DELETE', '/v1/jobs/shop/fuzz', 0)]),
  Buffer.concat([HTTP2_PREFACE, Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0])])
]

/** A valid message with some bytes replaced and its end cut off. */
function mutate (valid: fastCheck.Arbitrary<Buffer>): fastCheck.Arbitrary<Buffer> {
  const changes = fastCheck.array(fastCheck.tuple(fastCheck.nat(400), fastCheck.nat(255)), { maxLength: 6 })
  return fastCheck.tuple(valid, changes, fastCheck.nat(400)).map(([bytes, replaced, keep]) => {
    const copy = Buffer.from(bytes)
    for (const [position, value] of replaced) copy[position % copy.length] = value
    return copy.subarray(0, Math.max(1, keep))
  })
}

const randomBytes = fastCheck.uint8Array({ minLength: 1, maxLength: 300 }).map(bytes => Buffer.from(bytes))
const mutated = mutate(fastCheck.constantFrom(...validRequests))
const burst: fastCheck.Arbitrary<Burst> = fastCheck.record({
  target: fastCheck.constantFrom(Target.CallerApi, Target.Link, Target.Announcement),
  bytes: fastCheck.oneof(randomBytes, mutated),
  endAfter: fastCheck.boolean()
})

/** Random JSON values and mutations of valid bodies. */
const bodies = fastCheck.oneof(
  fastCheck.json().map(text => Buffer.from(text)),
  mutate(fastCheck.constantFrom(submission, announcement))
)

function resolveAddress (fleet: fleets.Fleet, target: Target): string {
  switch (target) {
    case Target.CallerApi: return fleet.entry.httpAddress
    case Target.Link: return fleet.entry.linkAddress
    case Target.Announcement: return fleet.agents[0]!.announceAddress
  }
}

describe('random input at every socket', () => {
  it('stops no process and loses no concurrent job', async () => {
    const fleet = await fleets.startFleet({ backends: 3 })
    const jobs = Array.from({ length: JOBS }, (_, number) => {
      const tasks = Array.from({ length: TASKS_PER_JOB }, (_, index) => ({ body: JSON.stringify({ runMs: 50 + index * 20, number, index }) }))
      return { team: 'valid', submissionId: `job-${number}`, service: 'parts', tasks }
    })
    const answers = jobs.map(job => fleets.submit(fleet, job, 60_000))
    const bursts = fastCheck.sample(burst, { seed: SEED, numRuns: BURSTS })
    await Promise.all(bursts.map(async each => await exchangeRaw(resolveAddress(fleet, each.target), each.bytes, DROP_MS, each.endAfter)))
    const results = await Promise.all(answers)
    for (const [number, answer] of results.entries()) {
      expect(answer.value.kind).to.equal('complete')
      expect(answer.value.tasks.map(task => task.body)).to.deep.equal(jobs[number]!.tasks.map(task => task.body))
    }
    const counts = fleet.backends.flatMap(backend => backend.starts()).filter(start => start.team === 'valid')
    expect(counts.length).to.equal(JOBS * TASKS_PER_JOB)
    expect(counts.every(start => start.count === 1)).to.equal(true)
    await fleet.stop()
  })

  it('answers every body with an expected status and a code', async () => {
    const fleet = await fleets.startFleet({ backends: 1 })
    for (const body of fastCheck.sample(bodies, { seed: SEED, numRuns: 400 })) {
      const answer = await fleets.post<{ code?: string, error?: { code: string } }>(fleet, '/v1/jobs', body)
      expect(answer.status).to.be.oneOf([200, 202, 400, 409, 503])
      expect(answer.value.code ?? answer.value.error?.code).to.be.a('string')
    }
    await fleet.stop()
  })
})
