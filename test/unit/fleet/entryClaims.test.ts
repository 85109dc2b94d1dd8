/** Links between entries for claims. */
import * as net from 'node:net'
import { expect } from 'chai'
import * as fleet from '@egretvalve/fleet'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import { flushEventLoop } from '../../support/simulatedTime.ts'

const { CLAIM_VERDICT_GRANTED, CLAIM_VERDICT_HELD } = protocol.runs.ClaimVerdict
const VALID_MS = 60_000
const realTimers = new settings.TimerService()

/** A stream whose messages the test writes, as the registrar sees it. */
class FakeStream {
  readonly written: protocol.runs.IFromRegistrar[] = []
  private readonly unread: protocol.runs.IFromClaimant[] = []
  private isEnded = false
  private wake = (): void => {}

  write (message: protocol.runs.IFromRegistrar): boolean {
    this.written.push(message)
    return true
  }

  receive (message: protocol.runs.IFromClaimant): void {
    this.unread.push(message)
    this.wake()
  }

  close (): void {
    this.isEnded = true
    this.wake()
  }

  once (): void {}
  on (): void {}
  end (): void {}
  destroy (): void {}

  async * [Symbol.asyncIterator] (): AsyncGenerator<protocol.runs.IFromClaimant> {
    while (true) {
      const next = this.unread.shift()
      if (next !== undefined) yield next
      else if (this.isEnded) return
      else await new Promise<void>(resolve => { this.wake = resolve })
    }
  }

  get verdicts (): Array<string | null | undefined> {
    return this.written.flatMap(({ answers }) => answers?.answers ?? []).map(({ jobId, verdict }) => `${jobId} ${verdict}`)
  }
}

interface RegistrarBench {
  timers: settings.FakeTimers
  /** Opens a stream of a claimant. */
  open: (entryId: string, life: string, upMs?: number) => FakeStream
}

function createRegistrar (): RegistrarBench {
  const timers = new settings.FakeTimers()
  const observer = { onGranted: () => {}, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} }
  const created = new fleet.EntryClaims({ entryId: 'own', life: 'life', address: '127.0.0.1:1' }, { timers, log: settings.createSilentLog() }, observer)
  let claimantUpMs = 60_000
  let handler: runtime.LinkHandler<unknown, unknown> | undefined
  created.accept({ accept: (_name: string, _method: unknown, accepted: runtime.LinkHandler<unknown, unknown>) => { handler = accepted } } as unknown as runtime.LinkServer)
  return {
    timers,
    open: (entryId, life, upMs = claimantUpMs += 100) => {
      const stream = new FakeStream()
      handler!(stream as unknown as runtime.LinkStream<unknown, unknown>, 'peer')
      stream.receive({ greeting: { entryId, life, upMs } })
      return stream
    }
  }
}

function createClaim (jobId: string): protocol.runs.IFromClaimant {
  return { requests: { claims: [{ jobId, validForMs: VALID_MS, sequence: 1 }], releases: [] } }
}

describe('claims that a registrar receives', () => {
  it('keeps a job that was claimed again on a newer link when the earlier one is read later, or ends', async () => {
    const { timers, open } = createRegistrar()
    const earlier = open('entry-1', 'life-1')
    earlier.receive(createClaim('job'))
    await flushEventLoop()
    const newer = open('entry-1', 'life-1')
    newer.receive(createClaim('job'))
    await flushEventLoop()
    earlier.receive({ requests: { claims: [], releases: [{ jobId: 'job', hasSucceeded: false }] } })
    await flushEventLoop()
    earlier.close()
    await flushEventLoop()
    timers.advance(10_000)
    const other = open('entry-2', 'life-2')
    other.receive(createClaim('job'))
    await flushEventLoop()
    expect(newer.verdicts).to.deep.equal([`job ${CLAIM_VERDICT_GRANTED}`])
    expect(other.verdicts).to.deep.equal([`job ${CLAIM_VERDICT_HELD}`])
  })

  it('does not grant what is read on a link after the claimant has opened another one', async () => {
    const { open } = createRegistrar()
    const earlier = open('entry-1', 'life-1')
    await flushEventLoop()
    open('entry-1', 'life-1')
    await flushEventLoop()
    earlier.receive(createClaim('job'))
    const other = open('entry-2', 'life-2')
    await flushEventLoop()
    other.receive(createClaim('job'))
    await flushEventLoop()
    expect(other.verdicts).to.deep.equal([`job ${CLAIM_VERDICT_GRANTED}`])
  })

  it('answers each claim, and refuses those that no claimant means', async () => {
    const { open } = createRegistrar()
    const stream = open('entry-1', 'life-1')
    const long = 'x'.repeat(65)
    stream.receive({ requests: { claims: [{ jobId: long, validForMs: VALID_MS, sequence: 1 }, { jobId: 'job', validForMs: 1e9, sequence: 2 }, { jobId: 'other', validForMs: -1, sequence: 3 }, { jobId: '', validForMs: 1, sequence: 4 }], releases: [] } })
    await flushEventLoop()
    expect(stream.verdicts).to.have.members([long, 'job', 'other', ''].map(jobId => `${jobId} ${CLAIM_VERDICT_HELD}`))
  })

  it('follows the newest link of a claimant, also if it reads the greeting of an earlier one later', async () => {
    const { open } = createRegistrar()
    const newer = open('entry-1', 'life-1', 5_000)
    await flushEventLoop()
    const earlier = open('entry-1', 'life-1', 4_000)
    await flushEventLoop()
    newer.receive(createClaim('job'))
    await flushEventLoop()
    expect(newer.verdicts).to.deep.equal([`job ${CLAIM_VERDICT_GRANTED}`])
    earlier.close()
    await flushEventLoop()
    newer.receive(createClaim('other'))
    await flushEventLoop()
    expect(newer.verdicts).to.deep.equal([`job ${CLAIM_VERDICT_GRANTED}`, `other ${CLAIM_VERDICT_GRANTED}`])
  })

  it('lets a job go whose release was lost with its link, although the claimant has opened another one', async () => {
    const { timers, open } = createRegistrar()
    const earlier = open('entry-1', 'life-1')
    earlier.receive(createClaim('job'))
    await flushEventLoop()
    open('entry-1', 'life-1')
    await flushEventLoop()
    timers.advance(1_400)
    const other = open('entry-2', 'life-2')
    other.receive(createClaim('job'))
    await flushEventLoop()
    expect(other.verdicts).to.deep.equal([`job ${CLAIM_VERDICT_GRANTED}`])
  })
})

/** An entry that listens. */
interface Entry {
  identity: { entryId: string, life: string, address: string }
  claims: fleet.EntryClaims
  server: runtime.LinkServer
  granted: string[]
  held: string[]
}

describe('claims of entries that have just started', () => {
  const entries: Entry[] = []

  before(async () => { await protocol.loadHash() })

  afterEach(() => {
    for (const { claims, server } of entries.splice(0)) {
      claims.stop()
      server.stop()
    }
  })

  async function startEntry (entryId: string, timers: settings.Timers = realTimers, listen = '127.0.0.1:0'): Promise<Entry> {
    const identity = { entryId, life: `life of ${entryId}`, address: '' }
    const granted: string[] = []
    const held: string[] = []
    const created = new fleet.EntryClaims(identity, { timers, log: settings.createSilentLog() }, { onGranted: jobId => { granted.push(jobId) }, onHeld: jobId => { held.push(jobId) }, onSucceeded: () => {}, onLost: () => {} })
    const server = new runtime.LinkServer(listen)
    created.accept(server)
    identity.address = await server.start()
    const entry = { identity, claims: created, server, granted, held }
    entries.push(entry)
    return entry
  }

  it('wait for the list of entries', async () => {
    const first = await startEntry('entry-a')
    first.claims.jobs.claim('job', VALID_MS)
    await realTimers.sleep(200)
    expect(first.granted).to.deep.equal([])
    first.claims.setEntries([first.identity])
    await flushEventLoop()
    expect(first.granted).to.deep.equal(['job'])
  })

  // Guards against two entries that hold one job because the younger one has no link to the other one yet.
  it('wait for the links to the listed entries', async () => {
    const first = await startEntry('entry-a')
    const second = await startEntry('entry-b')
    first.claims.setEntries([first.identity])
    first.claims.jobs.claim('job', VALID_MS)
    await flushEventLoop()
    expect(first.granted).to.deep.equal(['job'])
    second.claims.setEntries([first.identity, second.identity])
    second.claims.jobs.claim('job', VALID_MS)
    await waitUntil(() => second.held.length > 0)
    expect(second.granted).to.deep.equal([])
  })

  // Guards against links that were open before the list was read, and count as closed for ever once it is.
  it('use the links to entries that linked to this one before the list was read', async () => {
    const first = await startEntry('entry-a')
    const second = await startEntry('entry-b')
    second.claims.setEntries([first.identity, second.identity])
    await realTimers.sleep(200)
    first.claims.jobs.claim('job', VALID_MS)
    await realTimers.sleep(50)
    expect(first.granted).to.deep.equal([])
    first.claims.setEntries([first.identity, second.identity])
    await waitUntil(() => first.granted.length > 0)
    expect(first.claims.jobs.unconfirmedCount).to.equal(0)
  })

  // Guards against an entry that serves nobody after a start of the whole fleet until its next attempt to open a link.
  it('are confirmed by an entry that links to this one, also between two attempts to link to it', async () => {
    const listener = net.createServer(socket => {
      socket.on('error', () => {})
      socket.resetAndDestroy()
    })
    await new Promise<void>(resolve => { listener.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(listener.address() as net.AddressInfo).port}`
    // The clock stands still, so that no other attempt follows.
    const first = await startEntry('entry-a', new settings.FakeTimers())
    const reset = new Promise(resolve => { listener.once('connection', resolve) })
    first.claims.setEntries([first.identity, { entryId: 'entry-b', address, life: 'x' }])
    first.claims.jobs.claim('job', VALID_MS)
    await reset
    await realTimers.sleep(200)
    await new Promise<void>(resolve => { listener.close(() => { resolve() }) })
    const second = await startEntry('entry-b', realTimers, address)
    expect(first.granted).to.deep.equal([])
    second.claims.setEntries([first.identity, second.identity])
    await waitUntil(() => first.granted.length > 0)
    expect(first.claims.jobs.unconfirmedCount).to.equal(0)
  })

  it('do not wait for listed entries that are gone', async () => {
    const first = await startEntry('entry-a')
    first.claims.setEntries([first.identity, { entryId: 'entry-b', address: '127.0.0.1:1', life: 'x' }])
    first.claims.jobs.claim('job', VALID_MS)
    await waitUntil(() => first.granted.length > 0)
  })

  // Guards against an entry that grants itself jobs alone because it has not read the registration of another one.
  it('are made at an entry that is not in the list yet once it has linked to this one', async () => {
    const first = await startEntry('entry-a')
    const second = await startEntry('entry-b')
    first.claims.setEntries([first.identity])
    second.claims.setEntries([first.identity, second.identity])
    second.claims.jobs.claim('job', VALID_MS)
    await waitUntil(() => second.granted.length > 0)
    await realTimers.sleep(200)
    const { unconfirmedCount } = first.claims.jobs
    first.claims.jobs.claim('other', VALID_MS)
    await waitUntil(() => first.granted.includes('other'))
    expect(first.claims.jobs.unconfirmedCount).to.equal(unconfirmedCount)
    first.claims.jobs.claim('job', VALID_MS)
    await waitUntil(() => first.held.includes('job'))
  })
})

describe('claims of an entry whose only other entry does not confirm them', () => {
  const entryClaims: fleet.EntryClaims[] = []
  const listeners: net.Server[] = []

  before(async () => { await protocol.loadHash() })

  afterEach(() => {
    for (const each of entryClaims.splice(0)) each.stop()
    for (const each of listeners.splice(0)) each.close()
  })

  function createClaims (): { created: fleet.EntryClaims, granted: string[] } {
    const granted: string[] = []
    const created = new fleet.EntryClaims({ entryId: 'entry-a', life: 'life', address: '127.0.0.1:1' }, { timers: realTimers, log: settings.createSilentLog() }, { onGranted: jobId => { granted.push(jobId) }, onHeld: () => {}, onSucceeded: () => {}, onLost: () => {} })
    entryClaims.push(created)
    return { created, granted }
  }

  /** Listens at an address where no process greets. */
  async function listen (handle: (socket: net.Socket) => void): Promise<string> {
    const listener = net.createServer(socket => {
      socket.on('error', () => {})
      handle(socket)
    })
    listeners.push(listener)
    await new Promise<void>(resolve => { listener.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(listener.address() as net.AddressInfo).port}`
  }

  // Guards against two entries that grant themselves a job each, as every attempt to open their links again is reset.
  for (const { path, handle } of [{ path: 'resets connections', handle: (socket: net.Socket) => { socket.resetAndDestroy() } }, { path: 'accepts connections and stays silent', handle: () => {} }]) {
    it(`wait while its address ${path}, and are granted once it refuses them`, async () => {
      const sockets: net.Socket[] = []
      const address = await listen(socket => {
        sockets.push(socket)
        handle(socket)
      })
      const { created, granted } = createClaims()
      created.setEntries([{ entryId: 'entry-b', address, life: 'x' }])
      created.jobs.claim('job', VALID_MS)
      await realTimers.sleep(2 * fleet.CLAIM_LINK_OPEN_MS)
      expect(granted).to.deep.equal([])
      for (const listener of listeners) listener.close()
      for (const socket of sockets) socket.destroy()
      await waitUntil(() => granted.length > 0)
    })
  }

  // Guards against the first entry of a new version that serves nobody beside those of a version without claims.
  it('are granted when it is of a version without claims', async () => {
    const server = new runtime.LinkServer('127.0.0.1:0')
    server.accept('exchange', protocol.runLink.exchange, async () => {})
    const address = await server.start()
    const { created, granted } = createClaims()
    created.setEntries([{ entryId: 'entry-b', address, life: 'x' }])
    created.jobs.claim('job', VALID_MS)
    await waitUntil(() => granted.length > 0).finally(() => { server.stop() })
  })

  // Guards against an entry that serves nobody after a VM was lost, whose address never refuses connections.
  it('are granted once it has left the list and its link does not open', async () => {
    const address = await listen(socket => { socket.resetAndDestroy() })
    const { created, granted } = createClaims()
    created.setEntries([{ entryId: 'entry-b', address, life: 'x' }])
    created.jobs.claim('job', VALID_MS)
    await realTimers.sleep(2 * fleet.CLAIM_LINK_OPEN_MS)
    expect(granted).to.deep.equal([])
    created.setEntries([])
    await waitUntil(() => granted.length > 0)
  })
})

async function waitUntil (condition: () => boolean): Promise<void> {
  const endsAtMs = realTimers.nowMs() + 5_000
  while (!condition()) {
    if (realTimers.nowMs() > endsAtMs) throw new Error('condition not met in 5000 ms')
    await realTimers.sleep(5)
  }
}
