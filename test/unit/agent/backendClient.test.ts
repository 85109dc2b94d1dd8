/** Guards against a task that counts as not run, and starts elsewhere, although a backend server has read it. */
import * as diagnostics from 'node:diagnostics_channel'
import * as http from 'node:http'
import type * as net from 'node:net'
import { expect } from 'chai'
import { BackendClient } from '../../../packages/agent/src/tasks/backendClient.ts'
import * as protocol from '@egretvalve/protocol'

const { TaskState } = protocol.wire

describe('a task at a backend server', () => {
  let server: http.Server
  let client: BackendClient

  beforeEach(async () => {
    server = http.createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    client = new BackendClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, 1)
  })

  afterEach(async () => {
    await client.close()
    server.closeAllConnections()
    server.close()
  })

  it('has not run if the connection is refused', async () => {
    await new Promise(resolve => { server.close(resolve) })
    expect((await client.run({}, {}, new AbortController().signal)).state).to.equal(TaskState.TASK_STATE_NOT_RUN)
  })

  it('is unknown if the host becomes unreachable after the request was sent', async () => {
    const connected = new Promise<net.Socket>(resolve => { diagnostics.subscribe('undici:client:connected', message => { resolve((message as { socket: net.Socket }).socket) }) })
    const received = new Promise<void>(resolve => { server.once('request', () => { resolve() }) })
    const outcome = client.run({}, {}, new AbortController().signal)
    const [socket] = await Promise.all([connected, received])
    socket.destroy(Object.assign(new Error('read EHOSTUNREACH'), { code: 'EHOSTUNREACH', syscall: 'read' }))
    expect((await outcome).state).to.equal(TaskState.TASK_STATE_UNKNOWN)
  })
})
