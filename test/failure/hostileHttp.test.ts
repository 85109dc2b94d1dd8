import { expect } from 'chai'
import * as fleets from '../fixtures/fleet.ts'
import { exchangeRaw } from '../fixtures/rawSocket.ts'

const MAX_BODY_BYTES = 65_536
const REQUEST_TIMEOUT_MS = 300
/** Well above the time within which the entry closes a slow connection. */
const CLOSE_LIMIT_MS = 15_000

interface ErrorBody {
  error: { code: string, message: string, field?: string }
}

const manyTasks = Array.from({ length: 681 }, () => ({ body: '' }))

/** A request body, and the status, field and part of the message expected in the response. */
interface HostileBody {
  name: string
  body: string | Buffer
  status: number
  field: string
  messagePart: string
}

const bodies: readonly HostileBody[] = [
  { name: 'a body over the limit', body: JSON.stringify(fleets.createJob({ tasks: [{ body: 'x'.repeat(MAX_BODY_BYTES) }] })), status: 413, field: 'body', messagePart: 'more than 65536 bytes' },
  { name: 'a body far over the limit', body: 'x'.repeat(40 * MAX_BODY_BYTES), status: 413, field: 'body', messagePart: 'more than 65536 bytes' },
  { name: '681 tasks', body: JSON.stringify(fleets.createJob({ tasks: manyTasks })), status: 400, field: 'tasks', messagePart: 'got a list of 681; expected at most 680 items' },
  { name: 'an empty task list', body: JSON.stringify(fleets.createJob({ tasks: [] })), status: 400, field: 'tasks', messagePart: 'got a list of 0; expected at least 1 items' },
  { name: 'a repeated key', body: '{"team":"shop","team":"rozet","submissionId":"a","service":"parts","tasks":[{"body":""}]}', status: 400, field: 'team', messagePart: 'more than once' },
  { name: 'a wrong type', body: JSON.stringify(fleets.createJob({ team: 7 })), status: 400, field: 'team', messagePart: 'got 7; expected a value of type string' },
  { name: 'an unknown field', body: JSON.stringify(fleets.createJob({ urgent: true })), status: 400, field: 'urgent', messagePart: 'got true; expected no such field' },
  { name: 'an unknown field of a task', body: JSON.stringify(fleets.createJob({ tasks: [{ body: '', retries: 3 }] })), status: 400, field: 'tasks.0.retries', messagePart: 'got 3' },
  { name: 'a missing submission id', body: JSON.stringify(fleets.createJob({ submissionId: undefined })), status: 400, field: 'submissionId', messagePart: 'Idempotency-Key' },
  { name: 'broken UTF-8', body: Buffer.from([0x7b, 0x22, 0xff, 0x22, 0x7d]), status: 400, field: 'body', messagePart: 'not UTF-8' },
  { name: 'text that is not JSON', body: '{"team":', status: 400, field: 'body', messagePart: 'not JSON' },
  { name: 'an empty body', body: '', status: 400, field: 'body', messagePart: 'got nothing' },
  { name: 'a deadline that is not a number', body: JSON.stringify(fleets.createJob({ deadlineMs: 'soon' })), status: 400, field: 'deadlineMs', messagePart: 'got "soon"; expected a value of type number' },
  { name: 'a task with both body and bodyBase64', body: JSON.stringify(fleets.createJob({ tasks: [{ body: '', bodyBase64: '' }] })), status: 400, field: 'tasks.0.bodyBase64', messagePart: 'both' }
]

describe('hostile input at the caller API', () => {
  let fleet: fleets.Fleet

  before(async () => {
    fleet = await fleets.startFleet({ entrySettings: { maxBodyBytes: MAX_BODY_BYTES, requestTimeoutMs: REQUEST_TIMEOUT_MS } })
  })

  after(async () => { await fleet.stop() })

  afterEach('the entry still completes jobs', async () => {
    const id = `after-${performance.now()}`
    expect((await fleets.submit(fleet, fleets.createJob({ submissionId: id }))).value.kind).to.equal('complete')
  })

  for (const hostile of bodies) {
    it(`rejects ${hostile.name} and names the field`, async () => {
      const answer = await fleets.post<ErrorBody>(fleet, '/v1/jobs', hostile.body)
      expect(answer.status).to.equal(hostile.status)
      expect(answer.value.error).to.include({ code: 'invalid-input', field: hostile.field })
      expect(answer.value.error.message).to.contain(hostile.messagePart)
    })
  }

  it('rejects an invalid waitMs and names the field', async () => {
    const answer = await fleets.post<ErrorBody>(fleet, '/v1/jobs?waitMs=long', JSON.stringify(fleets.createJob()))
    expect(answer.value.error).to.include({ field: 'waitMs', message: 'waitMs: got long; expected a whole number of milliseconds from 0 to 120000' })
  })

  it('rejects an unknown route and an invalid path', async () => {
    expect((await fleets.get<ErrorBody>(fleet, '/v1/nothing')).status).to.equal(404)
    expect((await fleets.get<ErrorBody>(fleet, '/v1/jobs/shop/%ff')).status).to.be.oneOf([400, 404])
  })

  const slow: ReadonlyArray<[string, string]> = [
    ['a request head', 'POST /v1/jobs HTTP/1.1\r\nhost: entry\r\n'],
    ['a body', 'POST /v1/jobs HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{"team"']
  ]
  for (const [name, bytes] of slow) {
    it(`closes a connection whose sender never finishes ${name}`, async () => {
      const received = await exchangeRaw(fleet.entry.httpAddress, bytes, CLOSE_LIMIT_MS)
      expect(received).to.match(/^HTTP\/1\.1 408 /)
    })
  }

  it('closes a connection that does not speak HTTP', async () => {
    expect(await exchangeRaw(fleet.entry.httpAddress, '\x16\x03\x01\x02\x00 not http\r\n\r\n', CLOSE_LIMIT_MS)).to.match(/^HTTP\/1\.1 400 /)
  })

  it('starts no task of a submission whose body is truncated', async () => {
    const body = JSON.stringify(fleets.createJob({ submissionId: 'truncated' }))
    const head = `POST /v1/jobs HTTP/1.1\r\nhost: entry\r\ncontent-length: ${body.length}\r\n\r\n`
    await exchangeRaw(fleet.entry.httpAddress, head + body.slice(0, -1), CLOSE_LIMIT_MS, true)
    expect((await fleets.get(fleet, '/v1/jobs/shop/truncated')).status).to.equal(404)
    expect(fleet.backends.flatMap(backend => backend.starts('truncated'))).to.deep.equal([])
  })

  it('completes a job whose caller disconnected while waiting', async () => {
    const body = JSON.stringify(fleets.createJob({ submissionId: 'disconnected', tasks: [{ body: '{"runMs":100}' }] }))
    const head = `POST /v1/jobs?waitMs=5000 HTTP/1.1\r\nhost: entry\r\ncontent-length: ${body.length}\r\n\r\n`
    await exchangeRaw(fleet.entry.httpAddress, head + body, 50)
    const answer = await fleets.get<{ kind: string }>(fleet, '/v1/jobs/shop/disconnected/answer?waitMs=5000')
    expect(answer.value.kind).to.equal('complete')
  })
})

describe('hostile input at the announcement socket', () => {
  let fleet: fleets.Fleet

  before(async () => { fleet = await fleets.startFleet({ backends: 1 }) })

  after(async () => { await fleet.stop() })

  const announcement = { service: 'parts', address: '127.0.0.1:9', slots: 8, connections: 8, leaseMs: 1000 }
  const refusals: ReadonlyArray<[string, string, string]> = [
    ['a host name', JSON.stringify({ ...announcement, address: 'backend:80' }), 'address: got "backend:80"; expected an IPv4 address and port'],
    ['no slots', JSON.stringify({ ...announcement, slots: 0 }), 'slots: got 0; expected at least 1'],
    ['a repeated key', '{"slots":8,"slots":9}', 'slots: got the key more than once in one object; expected each key once'],
    ['an unknown field', JSON.stringify({ ...announcement, weight: 2 }), 'weight: got 2; expected no such field']
  ]
  for (const [name, body, message] of refusals) {
    it(`refuses ${name} and retains the earlier announcement`, async () => {
      const response = await fetch(`http://${fleet.agents[0]!.announceAddress}/v1/announcement`, { method: 'PUT', body })
      const value = await response.json() as ErrorBody
      expect(response.status).to.equal(400)
      expect(value.error.message).to.equal(message)
      expect((await fleets.submit(fleet, fleets.createJob({ submissionId: `still-${name}`.replaceAll(' ', '-') }))).value.kind).to.equal('complete')
    })
  }
})
