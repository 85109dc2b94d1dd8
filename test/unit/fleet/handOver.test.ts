/** Guards against answers that reach the wrong caller or none, and against jobs that go on after the link, the caller or an entry has gone. */
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import type * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import { flushEventLoop, passTime } from '../../support/simulatedTime.ts'

type Stream = runtime.LinkStream<any, any>
type Handler = (stream: Stream, peer: string) => Promise<void>

const { requestSerialize, requestDeserialize, responseSerialize, responseDeserialize } = protocol.handOverLink.exchange
const REQUEST: fleet.HandedRequest = { path: '/spares/1', host: 'shop.example', deadlineInMs: 900, waitedMs: 5, body: Buffer.from([0, 255, 1]) }
const ANSWER: fleet.HandedAnswer = { status: 200, retryAfterS: undefined, contentType: 'application/json', body: Buffer.from('{}') }
const ENTRIES = ['a', 'b'].map((entryId, number) => ({ entryId, address: `127.0.0.${number + 1}:7000`, failureDomain: 'zone' }))

/** One end of a stream in memory. Messages are encoded on their way. */
class FakeEnd implements Stream {
  other: FakeEnd | undefined
  private readonly arrived: unknown[] = []
  private isEnded = false
  private wake = (): void => {}
  constructor (private readonly recode: (message: any) => unknown) {}
  write (message: unknown): boolean {
    this.other!.arrived.push(this.recode(message))
    this.other!.wake()
    return true
  }

  once (): void {}
  on (): void {}
  end (): void {
    this.other!.isEnded = true
    this.other!.wake()
  }

  /** Ends both ways. */
  destroy (): void {
    this.end()
    this.isEnded = true
    this.wake()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<any> {
    for (;;) {
      if (this.arrived.length > 0) yield this.arrived.shift()
      else if (this.isEnded) return
      else await new Promise<void>(resolve => { this.wake = resolve })
    }
  }
}

interface TakenRequest {
  request: fleet.HandedRequest
  signal: AbortSignal
  answer: (answer: fleet.HandedAnswer) => void
}

describe('jobs handed over between entries', () => {
  let timers: settings.FakeTimers
  let handing: fleet.HandOver
  let taking: fleet.HandOver
  let accept: Handler
  let dialed: FakeEnd[]
  let taken: TakenRequest[]
  let left: fleet.ProcessorTimeLeft

  beforeEach(async () => {
    timers = new settings.FakeTimers()
    dialed = []
    taken = []
    left = { coresLeft: 0.5, delayMs: 3 }
    const dial = (): runtime.DialedLink<any, any> => {
      const [client, server] = [new FakeEnd(message => requestDeserialize(requestSerialize(message))), new FakeEnd(message => responseDeserialize(responseSerialize(message)))]
      client.other = server
      server.other = client
      dialed.push(client)
      accept(server, 'peer').finally(() => { server.end() })
      return { stream: client, close: () => { client.destroy() } }
    }
    const services = { timers, log: settings.createSilentLog(), dial: dial as typeof runtime.dialLink, processorTimeLeft: () => left, take: async (request: fleet.HandedRequest, signal: AbortSignal): Promise<fleet.HandedAnswer> => await new Promise(resolve => { taken.push({ request, signal, answer: resolve }) }) }
    handing = new fleet.HandOver({ entryId: 'a', life: 'a1' }, services)
    taking = new fleet.HandOver({ entryId: 'b', life: 'b1' }, services)
    taking.accept({ accept: (_name: string, _method: unknown, handler: Handler) => { accept = handler } } as unknown as runtime.LinkServer)
    handing.setEntries(ENTRIES)
    handing.open()
    await flushEventLoop()
  })

  afterEach(() => {
    handing.stop()
    taking.stop()
  })

  /** Hands requests over, and returns where their outcomes are collected. */
  async function send (count: number, signal = new AbortController().signal): Promise<string[]> {
    const outcomes: string[] = []
    for (let number = 0; number < count; number++) {
      handing.send('b', { ...REQUEST, path: `/spares/${number}` }, signal).then(outcome => { outcomes.push(outcome.kind === 'answered' ? `${number} ${outcome.answer.status} ${outcome.answer.body}` : `${number} ${outcome.kind}`) })
    }
    await flushEventLoop()
    return outcomes
  }

  it('passes requests and answers on unchanged, each answer once and to its own caller', async () => {
    const outcomes = await send(2)
    expect(taken[0]!.request).to.deep.equal({ ...REQUEST, path: '/spares/0' })
    taken[1]!.answer({ ...ANSWER, body: Buffer.from('second') })
    await flushEventLoop()
    dialed[0]!.other!.write({ answers: { answers: [{ number: 2, ...ANSWER }, { number: 99, ...ANSWER }] } })
    taken[0]!.answer({ ...ANSWER, status: 503, retryAfterS: 2 })
    await flushEventLoop()
    expect(outcomes).to.deep.equal(['1 200 second', '0 503 {}'])
    expect(handing.counters).to.include({ answered: 1, refused: 1, lost: 0 })
  })

  it('abandons a job whose caller leaves, also in the turn in which it was handed over', async () => {
    const caller = new AbortController()
    const outcomes = await send(1, caller.signal)
    caller.abort()
    const early = new AbortController()
    handing.send('b', REQUEST, early.signal)
    early.abort()
    await flushEventLoop()
    expect(outcomes).to.deep.equal(['0 left'])
    expect(taken.map(({ signal }) => signal.aborted)).to.deep.equal([true, true])
  })

  it('leaves callers without an answer and abandons their jobs when the link closes, then opens it again', async () => {
    const outcomes = await send(2)
    dialed[0]!.destroy()
    await flushEventLoop()
    expect(outcomes).to.deep.equal(['0 lost', '1 lost'])
    expect(taken.map(({ signal }) => signal.aborted)).to.deep.equal([true, true])
    expect((await send(1)), 'without a link').to.deep.equal(['0 unsent'])
    await passTime(timers, 200)
    expect(dialed.length).to.equal(2)
    await send(1)
    expect(taken.length).to.equal(3)
  })

  const oddMessages: Array<[string, protocol.runs.IFromTakingEntry]> = [
    ['another greeting', { greeting: { entryId: 'b', life: 'b2' } }],
    ['a status that no entry gives', { answers: { answers: [{ ...ANSWER, number: 1, status: 101 }] } }],
    ['a header that no entry gives', { answers: { answers: [{ ...ANSWER, number: 1, contentType: 'a\r\nb' }] } }],
    ['an answer that is too large', { answers: { answers: [{ ...ANSWER, number: 1, body: Buffer.alloc(65_537) }] } }]
  ]
  for (const [name, message] of oddMessages) {
    it(`passes nothing on after ${name}`, async () => {
      const outcomes = await send(1)
      dialed[0]!.other!.write(message)
      await flushEventLoop()
      expect(outcomes).to.deep.equal(['0 lost'])
    })
  }

  const oddRequests: Array<[string, protocol.runs.IHandedOverRequest]> = [
    ['of another method', { number: 7, ...REQUEST, method: 'DELETE' }],
    ['without an end of its wait', { number: 7, ...REQUEST, method: 'POST', deadlineInMs: Number.POSITIVE_INFINITY }],
    ['with a number in use', { number: 1, ...REQUEST, method: 'POST' }],
    ['that is too large', { number: 7, ...REQUEST, method: 'POST', body: Buffer.alloc(1_048_577) }]
  ]
  for (const [name, request] of oddRequests) {
    it(`closes a link with a request ${name}`, async () => {
      const outcomes = await send(1)
      dialed[0]!.write({ requests: { requests: [request] } })
      await flushEventLoop()
      expect({ outcomes, taken: taken.length, isAborted: taken[0]!.signal.aborted }).to.deep.equal({ outcomes: ['0 lost'], taken: 1, isAborted: true })
    })
  }

  it('reports processor time at once, then only when it has changed or an answer is owed, and takes no impossible report', async () => {
    expect(handing.peers).to.deep.equal([{ entryId: 'b', coresLeft: 0.5, delayMs: 3, silentMs: 0 }])
    const written: unknown[] = []
    const { other } = dialed[0]!
    const write = other!.write.bind(other)
    other!.write = message => { written.push(message); return write(message) }
    await passTime(timers, 1_000)
    expect(written).to.deep.equal([])
    left = { coresLeft: 0, delayMs: 80 }
    await passTime(timers, 1_000)
    expect(written).to.deep.equal([{ time: left }])
    await send(1)
    await passTime(timers, 1_000)
    expect(written.length).to.be.within(4, 5)
    other!.write({ time: { coresLeft: Number.POSITIVE_INFINITY, delayMs: 0 } })
    await flushEventLoop()
    expect(handing.peers[0]).to.include({ coresLeft: 0 })
  })

  it('shows that an entry owes an answer and is silent, and closes links that are no longer needed', async () => {
    taking.stop()
    const outcomes = await send(1)
    await passTime(timers, 1_200)
    expect(handing.peers[0]!.silentMs).to.be.at.least(1_000)
    taken[0]!.answer(ANSWER)
    await passTime(timers, 32_000)
    expect({ outcomes, peers: handing.peers }).to.deep.equal({ outcomes: ['0 200 {}'], peers: [] })
  })
})
