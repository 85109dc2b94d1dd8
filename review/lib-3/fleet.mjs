/** A small deployment: entries and agents as separate processes with the commands of the deploy file, beside the stand-ins. */
import { spawn } from 'node:child_process'
import fs from 'node:fs'
import http from 'node:http'
import os from 'node:os'
import path from 'node:path'
import { Minion, nowMs, Proxy, sleep, Store } from './standins.mjs'

const ROOT = path.resolve(import.meta.dirname, '../..')
const HOST = 'shop.example'
const PREFIX = '/spares/'
const ENTRY_LIMITS = { cpu_fraction: 0.675, cpu_cores: 1, memory_mb: 350, max_open_files: 4_100, link_mbps: 1_000, disk_mb: 0 }
const SIDE_LIMITS = { cpu_fraction: 0.405, cpu_cores: 1, memory_mb: 218, max_open_files: 4_096, link_mbps: 1_000, disk_mb: 0 }
const BOUNDS = { contact_ms: 3_000, ack_timeout_ms: 4_000, drain_ms: 2_000, grace_period_s: 6, config_apply_ms: 2_000, max_hold_ms: 1_000, stop_timeout_ms: 50, cancel_ms: 3_000, lease_ms: 3_000, retransmit_ms: 1_300 }

/** Arguments that the deploy file passes to `node` for a role. */
function readCommand (role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  return new RegExp(`run = "node (.*) ${role}"`).exec(text)[1].split(' ').concat(role)
}

/** Processes that run. They end with this one, however it ends. */
const running = new Set()
process.once('exit', () => { for (const child of running) child.kill('SIGKILL') })
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => { process.exit(2) })

/** One process of the system. */
export class Node {
  constructor (role, name, settings, folder, record) {
    Object.assign(this, { role, name, settings, record })
    this.file = path.join(folder, `${name}.json`)
    fs.writeFileSync(this.file, JSON.stringify(settings))
    this.logPath = path.join(folder, `${name}.log`)
  }

  start () {
    const log = fs.openSync(this.logPath, 'a')
    this.child = spawn(process.execPath, readCommand(this.role), { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, EGRETVALVE_SETTINGS: this.file }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    const { child } = this
    running.add(child)
    child.once('exit', () => { running.delete(child) })
    this.record({ what: 'process started', node: this.name })
    this.ended = new Promise(resolve => { child.once('exit', (code, signal) => { resolve({ code, signal }) }) })
    child.once('exit', (code, signal) => { this.record({ what: 'process ended', node: this.name, code, signal }) })
  }

  get isRunning () {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  async kill () {
    if (!this.isRunning) return
    this.child.kill('SIGCONT')
    this.child.kill('SIGKILL')
    await this.ended
  }
}

/** A fleet of entries and agents with a minion each. */
export class Fleet {
  constructor ({ entries = 3, agents = 4, workMsOf }) {
    this.records = []
    this.startedAtMs = nowMs()
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-3-'))
    this.net = `127.${64 + process.pid % 128}.${Math.floor(process.pid / 128) % 256}`
    this.counts = { entries, agents }
    this.workMsOf = workMsOf
  }

  record = fields => { this.records.push({ atMs: nowMs() - this.startedAtMs, ...fields }) }

  /** Address of a machine; 1 to 99 are entries, 101 and up the machines with minions, 250 is the platform. */
  ip (number) {
    return `${this.net}.${number}`
  }

  async start () {
    this.store = new Store()
    await this.store.start(this.ip(250))
    this.configure(1, [PREFIX])
    this.storePaths = []
    this.entries = []
    this.agents = []
    this.minions = []
    const zones = ['attica-a', 'attica-b', 'attica-c']
    const seeds = Array.from({ length: Math.min(3, this.counts.entries) }, (_, index) => `${this.ip(index + 1)}:8166`)
    const common = { region: 'gr-attica', zones: Object.fromEntries(zones.map(zone => [zone, 'gr-attica'])), internal_port_range: [7_720, 7_735], seed_nodes: seeds, bootstrap: true, counted_in_tolerance: false, data_dir: null, discovery: 'local', entry_point: 'vip', heartbeat_ms: 1_500, bounds: BOUNDS, command_mode: 'request' }
    const platform = address => ({ address, form: 'kv', writes_per_s: 400, reads_per_s: 2_000, history_retention_s: 20, value_bytes: 1_048_576, min_ttl_ms: 1_000 })
    for (let index = 0; index < this.counts.entries; index++) {
      const ip = this.ip(index + 1)
      const storePath = new Proxy(this.store.address)
      await storePath.start(this.ip(250))
      this.storePaths.push(storePath)
      const name = `edge-${index + 1}`
      this.entries.push(new Node('entry', name, { node_name: name, role: 'entry', machine_class: 'edge', serves: ['edge', 'control'], ip, zone: zones[index % 3], bind_addresses: { frontend: `${ip}:8161`, ready: `${ip}:8167`, control_plane: `${ip}:8166` }, limits: ENTRY_LIMITS, platform: platform(storePath.address), ...common }, this.folder, this.record))
    }
    for (let index = 0; index < this.counts.agents; index++) {
      const ip = this.ip(101 + index)
      const zone = zones[index % 3]
      const name = `side-${index + 1}`
      const minion = new Minion({ id: `i-${name}`, service: 'spares', zone, labels: ['a', `r1-${Math.floor(index / 3)}`], agentMachine: name, record: this.record, workMsOf: this.workMsOf })
      await minion.start(ip, `${ip}:8166`)
      this.minions.push(minion)
      this.agents.push(new Node('agent', name, { node_name: name, role: 'agent', machine_class: 'side', serves: ['side'], ip, zone, bind_addresses: { control_plane: `${ip}:8166` }, app: minion.address, service: 'spares', limits: SIDE_LIMITS, platform: platform(this.store.address), ...common }, this.folder, this.record))
    }
    for (const node of [...this.entries, ...this.agents]) node.start()
    for (const minion of this.minions) minion.startBeats()
  }

  configure (version, prefixes) {
    const routes = prefixes.map((prefix, index) => ({ name: `r${index}`, host: HOST, path_prefix: prefix, type: 'non_idempotent', timeout_ms: 1_500, target_latency_ms: 60, priority: 0, service: 'spares', max_attempts: 2, slack_factor: 1.6 }))
    this.store.put('op/config', JSON.stringify({ version, routes, services: [{ name: 'spares', enforce_capacity: true }], limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 } }))
  }

  /** Waits until each entry says that it is ready and sees all minions. Returns false if that takes too long. */
  async waitUntilReady (limitMs = 25_000) {
    const untilMs = nowMs() + limitMs
    for (const { settings } of this.entries) {
      for (;;) {
        const reply = await call({ address: settings.bind_addresses.ready, method: 'GET', path: '/egretvalve/ready', timeoutMs: 1_000 })
        if (reply.status === 200 && JSON.parse(reply.body).workers === this.counts.agents) break
        if (nowMs() > untilMs) return false
        await sleep(100)
      }
    }
    return true
  }

  async submit (entry, jobId, body, { deadlineMs = 1_500, timeoutMs = 4_000, isQuiet = false } = {}) {
    if (!isQuiet) this.record({ what: 'POST sent', node: entry.name, jobId })
    const reply = await call({ address: entry.settings.bind_addresses.frontend, method: 'POST', path: PREFIX + jobId, headers: { 'x-deadline-ms': String(deadlineMs) }, body: JSON.stringify(body), timeoutMs })
    if (!isQuiet) this.record({ what: 'POST answered', node: entry.name, jobId, status: reply.status, body: reply.body.slice(0, 200) })
    return reply
  }

  async cancel (entry, jobId) {
    this.record({ what: 'DELETE sent', node: entry.name, jobId })
    const reply = await call({ address: entry.settings.bind_addresses.frontend, method: 'DELETE', path: PREFIX + jobId, headers: { 'x-deadline-ms': '1500' }, timeoutMs: 4_000 })
    this.record({ what: 'DELETE answered', node: entry.name, jobId, status: reply.status, body: reply.body.slice(0, 200) })
    return reply
  }

  startsOf (jobId) {
    return this.records.filter(({ what, task }) => what === 'start' && task.startsWith(jobId))
  }

  async stop (recordPath) {
    await Promise.all([...(this.entries ?? []), ...(this.agents ?? [])].map(async node => { await node.kill() }))
    for (const each of [...(this.minions ?? []), ...(this.storePaths ?? [])]) each.stop()
    this.store?.stop()
    if (recordPath !== undefined) fs.writeFileSync(recordPath, this.records.map(each => `${JSON.stringify(each)}\n`).join(''))
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(this.folder, { recursive: true, force: true })
    else process.stderr.write(`logs: ${this.folder}\n`)
  }
}

/** Sends one HTTP request on a connection of its own. Status 0 means no complete answer. */
export async function call ({ address, method, path: target, headers = {}, body, timeoutMs }) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const request = http.request({ host, port, method, path: target, agent: false, headers: { host: HOST, ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }), ...headers } }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('end', () => {
        clearTimeout(timer)
        resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString() })
      })
    })
    const timer = setTimeout(() => { request.destroy(new Error('timeout')) }, timeoutMs)
    request.on('error', error => {
      clearTimeout(timer)
      resolve({ status: 0, body: error.message })
    })
    request.end(body)
  })
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. Ends all processes in any case. */
export async function runCase ({ folder, options, limitMs = 110_000, play }) {
  const hasTrouble = process.env.TROUBLE !== '0'
  const fleet = new Fleet(options)
  let code = 2
  const limit = setTimeout(() => {
    fleet.record({ what: 'verdict', code: 2, reason: 'time limit of the case' })
    fleet.stop(path.join(folder, 'record.txt')).finally(() => { process.exit(2) })
  }, limitMs)
  try {
    await fleet.start()
    if (await fleet.waitUntilReady()) {
      fleet.record({ what: 'ready', hasTrouble })
      const verdict = await play(fleet, hasTrouble)
      code = verdict.code
      fleet.record({ what: 'verdict', ...verdict })
      process.stdout.write(`${verdict.reason}\n`)
    } else fleet.record({ what: 'verdict', code, reason: 'the fleet was not ready in time' })
  } catch (thrown) {
    code = 2
    fleet.record({ what: 'verdict', code, reason: String(thrown) })
    process.stderr.write(`${thrown.stack}\n`)
  }
  clearTimeout(limit)
  await fleet.stop(path.join(folder, 'record.txt'))
  process.exit(code)
}
