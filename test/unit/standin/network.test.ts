import * as net from 'node:net'
import { expect } from 'chai'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'

const { LinkFaultKind } = standin
/** Long enough for bytes on the loopback to arrive if nothing holds them, in milliseconds. */
const SETTLE_MS = 50

interface Setting {
  server: net.Server
  proxy: standin.NetworkProxy
  /** What the server has received so far. */
  received: string[]
  peers: net.Socket[]
}

async function createSetting (timers: settings.Timers = new settings.TimerService()): Promise<Setting> {
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

async function close (setting: Setting): Promise<void> {
  await setting.proxy.stop()
  setting.server.close()
}

describe('createNetworkProxy', () => {
  it('carries bytes both ways and passes the end on', async () => {
    const setting = await createSetting()
    const client = await connect(setting.proxy)
    client.socket.write('one')
    await until(() => client.received.join('') === 'echo one')
    client.socket.end()
    expect(await client.closed).to.equal('closed')
    await close(setting)
  })

  it('holds both directions during a cut and delivers afterwards', async () => {
    const setting = await createSetting()
    const client = await connect(setting.proxy)
    setting.proxy.setFault({ kind: LinkFaultKind.CutBothWays })
    client.socket.write('one')
    await settle()
    expect(setting.received).to.deep.equal([])
    setting.proxy.setFault({ kind: LinkFaultKind.None })
    await until(() => client.received.join('') === 'echo one')
    await close(setting)
  })

  it('cuts one way only', async () => {
    const setting = await createSetting()
    const client = await connect(setting.proxy)
    setting.proxy.setFault({ kind: LinkFaultKind.CutToClient })
    client.socket.write('one')
    await until(() => setting.received.join('') === 'one')
    await settle()
    expect(client.received).to.deep.equal([])
    await close(setting)
  })

  it('delays without losing the order', async () => {
    const timers = new settings.FakeTimers()
    const setting = await createSetting(timers)
    const client = await connect(setting.proxy)
    setting.proxy.setFault({ kind: LinkFaultKind.Delay, delayMs: 40 })
    client.socket.write('a')
    await settle()
    timers.advance(39)
    client.socket.write('b')
    await settle()
    expect(setting.received).to.deep.equal([])
    timers.advance(1)
    await until(() => setting.received.join('') === 'a')
    timers.advance(39)
    await until(() => setting.received.join('') === 'ab')
    await close(setting)
  })

  it('resets one connection and leaves the other', async () => {
    const setting = await createSetting()
    const first = await connect(setting.proxy)
    const second = await connect(setting.proxy)
    await until(() => setting.proxy.connections.length === 2)
    setting.proxy.connections[0]!.reset()
    expect(await first.closed).to.equal('ECONNRESET')
    second.socket.write('two')
    await until(() => second.received.join('') === 'echo two')
    second.socket.destroy()
    await close(setting)
  })
})
