import { copyFileSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import * as path from 'node:path'
import * as tls from 'node:tls'
import { expect } from 'chai'
import * as agent from '@egretvalve/agent'
import * as entry from '@egretvalve/entry'
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import * as undici from 'undici'

const FIXTURES = 'test/fixtures/tls'
const ANY_PORT = '127.0.0.1:0'
const WAIT_LIMIT_MS = 30_000
const POLL_MS = 10
const timers = new settings.TimerService()
const services = { timers, log: settings.createSilentLog(), metrics: settings.createSilentMetrics() }

async function waitFor (what: string, holds: () => Promise<boolean>): Promise<void> {
  const limitMs = timers.nowMs() + WAIT_LIMIT_MS
  while (!await holds()) {
    if (timers.nowMs() > limitMs) throw new Error(`timed out waiting for ${what}`)
    await timers.sleep(POLL_MS)
  }
}

describe('TLS reload', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'egretvalve-tls-'))
  const files = { tlsKeyFile: path.join(folder, 'key.pem'), tlsCertFile: path.join(folder, 'cert.pem'), tlsCaFile: `${FIXTURES}/ca.pem` }
  let source: runtime.TlsSource
  let running: entry.Entry
  let worker: agent.Agent

  function install (name: string): void {
    copyFileSync(`${FIXTURES}/${name}-key.pem`, files.tlsKeyFile)
    copyFileSync(`${FIXTURES}/${name}.pem`, files.tlsCertFile)
  }

  /** Returns the common name of the certificate that the server at an address presents. */
  async function presentedName (address: string): Promise<string> {
    const { host, port } = runtime.parseAddress(address)
    return await new Promise((resolve, reject) => {
      const socket = tls.connect({ host, port, ca: source.ca, key: source.key, cert: source.cert, ALPNProtocols: ['h2', 'http/1.1'] }, () => {
        resolve(String(socket.getPeerCertificate().subject.CN))
        socket.destroy()
      })
      socket.once('error', reject)
    })
  }

  /** Returns true if the agent is connected to the entry. Without a backend server it accepts no tasks and is reported as draining. */
  async function hasAgent (): Promise<boolean> {
    const dispatcher = new undici.Agent({ connect: { ca: readFileSync(files.tlsCaFile) } })
    const response = await undici.request(`https://${running.httpAddress}/admin/v1/status`, { dispatcher })
    const status = await response.body.json() as { nodes: Array<{ nodeId: string, condition: string }> }
    await dispatcher.close()
    return status.nodes.some(node => node.nodeId === worker.agentId && node.condition === 'draining')
  }

  async function startAgent (nodeId: string): Promise<void> {
    const values = agent.resolveAgentDefaults({ nodeId, announceListen: ANY_PORT, entries: [running.linkAddress] })
    worker = agent.createAgent(values, { ...services, tls: source })
    await worker.start()
    await waitFor('the agent', hasAgent)
  }

  before(async () => {
    install('first')
    source = runtime.resolveTls({ plainText: false, ...files }).unwrap()!
    const values = entry.resolveEntryDefaults({ httpListen: ANY_PORT, linkListen: ANY_PORT, openAdmin: true })
    running = entry.createEntry(values, { ...services, tls: source })
    await running.start()
  })

  after(async () => {
    await running.stop()
    rmSync(folder, { recursive: true })
  })

  it('secures links and the HTTP APIs', async () => {
    await startAgent('agent-1')
    expect(await presentedName(running.linkAddress)).to.equal('first')
    expect(await presentedName(running.httpAddress)).to.equal('first')
    await worker.stop()
  })

  it('retains the current key material while key and certificate do not match', () => {
    copyFileSync(`${FIXTURES}/second-key.pem`, files.tlsKeyFile)
    expect(() => source.refresh()).to.throw()
    expect(source.key.equals(readFileSync(`${FIXTURES}/first-key.pem`))).to.equal(true)
  })

  it('applies changed files without a restart', async () => {
    install('second')
    expect(source.refresh()).to.equal(true)
    await waitFor('the link certificate', async () => await presentedName(running.linkAddress) === 'second')
    await waitFor('the HTTP certificate', async () => await presentedName(running.httpAddress) === 'second')
    await startAgent('agent-2')
    await worker.stop()
  })

  it('requires the TLS files unless plain text is set', () => {
    expect(runtime.resolveTls({ ...files, plainText: false, tlsKeyFile: '' }).err).to.equal(true)
    expect(runtime.resolveTls({ ...files, plainText: true }).unwrap()).to.equal(undefined)
  })
})
