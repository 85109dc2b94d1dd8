import * as net from 'node:net'
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'

const { LinkFaultKind } = standin
/** Time in milliseconds in which bytes arrive over loopback unless the proxy buffers them. */
const SETTLE_MS = 50

interface ProxyContext {
  /** Echo server behind the proxy. */
  server: net.Server
  proxy: standin.NetworkProxy
  /** Chunks that the server has received so far. */
  received: string[]
  peers: net.Socket[]
}

async function createContext (timers: settings.Timers = new settings.TimerService()): Promise<ProxyContext> {
  const received: string[] = []
  const peers: net.Socket[] = []
  const server = net.createServer(socket => {
    peers.push(socket)
    socket.on('error', () => {})
    socket.on('data', chunk => {
      received.push(String(chunk))
      socket.write(`echo ${String(chunk)}`)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const target = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  const proxy = standin.createNetworkProxy({ listen: '127.0.0.1:0', target, timers, log: settings.createSilentLog() })
  await proxy.start()
  return { server, proxy, received, peers }
}

async function connect (proxy: standin.NetworkProxy): Promise<{ socket: net.Socket, received: string[], closed: Promise<string> }> {
  const socket = net.connect(Number(proxy.address.split(':')[1]), '127.0.0.1')
  const received: string[] = []
  let ending = 'closed'
  socket.on('data', chunk => { received.push(String(chunk)) })
  socket.on('error', thrown => { ending = (thrown as NodeJS.ErrnoException).code ?? '' })
  const closed = new Promise<string>(resolve => { socket.on('close', () => resolve(ending)) })
  await new Promise(resolve => { socket.once('connect', resolve) })
  return { socket, received, closed }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await settle(5)
}

async function settle (durationMs = SETTLE_MS): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, durationMs) })
}

async function close (context: ProxyContext): Promise<void> {
  await context.proxy.stop()
  context.server.close()
}

describe('createNetworkProxy', () => {
  it('relays bytes in both directions and propagates the end of the stream', async () => {
    const context = await createContext()
    const client = await connect(context.proxy)
    client.socket.write('one')
    await until(() => client.received.join('') === 'echo one')
    client.socket.end()
    expect(await client.closed).to.equal('closed')
    await close(context)
  })

  it('buffers both directions during a cut and delivers the bytes afterwards', async () => {
    const context = await createContext()
    const client = await connect(context.proxy)
    context.proxy.setFault({ kind: LinkFaultKind.CutBothWays })
    client.socket.write('one')
    await settle()
    expect(context.received).to.deep.equal([])
    context.proxy.setFault({ kind: LinkFaultKind.None })
    await until(() => client.received.join('') === 'echo one')
    await close(context)
  })

  it('cuts one direction only', async () => {
    const context = await createContext()
    const client = await connect(context.proxy)
    context.proxy.setFault({ kind: LinkFaultKind.CutToClient })
    client.socket.write('one')
    await until(() => context.received.join('') === 'one')
    await settle()
    expect(client.received).to.deep.equal([])
    await close(context)
  })

  it('delays bytes without reordering them', async () => {
    const timers = new settings.FakeTimers()
    const context = await createContext(timers)
    const client = await connect(context.proxy)
    context.proxy.setFault({ kind: LinkFaultKind.Delay, delayMs: 40 })
    client.socket.write('a')
    await settle()
    timers.advance(39)
    client.socket.write('b')
    await settle()
    expect(context.received).to.deep.equal([])
    timers.advance(1)
    await until(() => context.received.join('') === 'a')
    timers.advance(39)
    await until(() => context.received.join('') === 'ab')
    await close(context)
  })

  it('resets one connection without affecting the other', async () => {
    const context = await createContext()
    const first = await connect(context.proxy)
    const second = await connect(context.proxy)
    await until(() => context.proxy.connections.length === 2)
    context.proxy.connections[0]!.reset()
    expect(await first.closed).to.equal('ECONNRESET')
    second.socket.write('two')
    await until(() => second.received.join('') === 'echo two')
    second.socket.destroy()
    await close(context)
  })
})
