/** Small stand-ins for the platform's store and minions, a relay, callers, and the project's own programs as child processes. */
import { spawn } from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'

export const HOST = 'shop.example'
export const SERVICE = 'spares'
/** Bounds of the small sites. */
export const BOUNDS = { seed_lag_s: 3, address_reuse_s: 2, contact_ms: 3000, ack_timeout_ms: 4000, drain_ms: 2000, grace_period_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, max_hold_ms: 1000, stop_timeout_ms: 50, cancel_ms: 3000, visible_ms: 3000, retransmit_ms: 1300, lease_ms: 3000 }
const HEARTBEAT_MS = 1_500
const MINION_CPU = 32_000
const MINION_MEMORY_MB = 131_072

export const sleep = async ms => { await new Promise(resolve => { setTimeout(resolve, ms) }) }
const startedAtMs = performance.now()
/** Milliseconds since the script began. */
export const now = () => performance.now() - startedAtMs

/** Writes record.txt: what was sent, answered and run. */
export class Record {
  constructor (folder) {
    this.file = fs.openSync(path.join(folder, 'record.txt'), 'w')
  }

  write (text) {
    fs.writeSync(this.file, `${now().toFixed(0).padStart(7)} ${text}\n`)
  }
}

async function listen (server, host, port) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

function serveJson (handle) {
  return http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', async () => {
      const text = Buffer.concat(chunks).toString()
      const answer = await handle(request.method, new URL(request.url, 'http://local'), text === '' ? {} : JSON.parse(text), request.headers)
      if (answer === undefined || response.destroyed) return
      response.writeHead(answer.status, { 'content-type': 'application/json' })
      response.end(answer.body === undefined ? '' : JSON.stringify(answer.body))
    })
  })
}

/** The platform's key-value store. `relays` maps an entry's registered link address to the relay in front of it. */
export class Store {
  items = new Map()
  history = []
  leases = new Map()
  revision = 100
  relays = new Map()
  waiters = new Set()

  async start (host, port) {
    this.server = serveJson(async (method, url, body) => await this.handle(method, url, body))
    await listen(this.server, host, port)
    this.timer = setInterval(() => { this.expireLeases() }, 50)
    this.address = `${host}:${port}`
  }

  stop () {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  put (key, value, lease = 0) {
    this.revision++
    const known = this.items.get(key)
    const item = { key, value: Buffer.from(value).toString('base64'), revision: this.revision, created: known?.created ?? this.revision, lease }
    this.items.set(key, item)
    this.history.push(item)
    for (const wake of this.waiters) wake()
  }

  remove (key) {
    if (!this.items.delete(key)) return
    this.revision++
    this.history.push({ key, revision: this.revision, deleted: true })
    for (const wake of this.waiters) wake()
  }

  expireLeases () {
    for (const [lease, { untilMs }] of this.leases) {
      if (now() > untilMs) this.endLease(lease)
    }
  }

  endLease (lease) {
    this.leases.delete(lease)
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key)
    }
  }

  /** Replaces an entry's address by that of its relay, so that agents dial the relay. */
  shown (item) {
    if (this.relays.size === 0 || item.value === undefined || !item.key.startsWith('egretvalve/entries/')) return item
    const value = JSON.parse(Buffer.from(item.value, 'base64').toString())
    return { ...item, value: Buffer.from(JSON.stringify({ ...value, address: this.relays.get(value.address) ?? value.address })).toString('base64') }
  }

  async handle (method, url, body) {
    const name = url.pathname.replace('/egretvalve/', '')
    const prefix = url.searchParams.get('path_prefix') ?? ''
    if (name === 'kv-key') {
      const item = this.items.get(url.searchParams.get('key'))
      return item === undefined ? { status: 404, body: { at_revision: this.revision } } : { status: 200, body: { ...item, at_revision: this.revision } }
    }
    if (name === 'kv-range') {
      const items = [...this.items.values()].filter(item => item.key.startsWith(prefix)).sort((left, right) => left.key < right.key ? -1 : 1)
      return { status: 200, body: { items: items.map(item => this.shown(item)), has_more: false, at_revision: this.revision } }
    }
    if (name === 'kv-watch') return await this.watch(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')))
    if (name === 'kv-txn') return this.commit(body)
    if (name === 'kv-lease') {
      const lease = this.revision * 1_000 + this.leases.size + 1
      this.leases.set(lease, { ttlMs: body.ttl_ms, untilMs: now() + body.ttl_ms })
      this.revision++
      return { status: 200, body: { lease, ttl_ms: body.ttl_ms } }
    }
    const lease = Number(name.split('/')[1])
    const known = this.leases.get(lease)
    if (known === undefined) return { status: 404 }
    if (method === 'DELETE') this.endLease(lease)
    else known.untilMs = now() + known.ttlMs
    return { status: 200, body: { ttl_ms: known.ttlMs } }
  }

  async watch (prefix, after, waitMs) {
    const find = () => this.history.filter(change => change.revision > after && change.key.startsWith(prefix))
    const untilMs = now() + waitMs
    while (find().length === 0 && now() < untilMs) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, untilMs - now())
        this.waiters.add(wake)
      })
    }
    return { status: 200, body: { events: find().map(change => this.shown(change)), at_revision: this.revision } }
  }

  commit ({ expected = [], writes = [], remove = [] }) {
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return { status: 412, body: { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) } }
    if (writes.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) return { status: 404 }
    for (const { key, value, lease } of writes) this.put(key, Buffer.from(value, 'base64').toString(), lease ?? 0)
    for (const key of remove) this.remove(key)
    return { status: 200, body: { revision: this.revision } }
  }
}

/** Work in milliseconds and size of the tasks of each job, which a minion looks up by the job's id. */
export const work = new Map()
/** All runs of all minions: task, run, minion, start, end and cause. */
export const runs = []

/** A minion. `intercept` may take a call: it returns 'lost' for one that gets no answer, and may carry it out later with `perform`. */
export class Minion {
  intercept = () => undefined
  isDraining = false
  life = 0
  /** Its kind and its rack. */
  labels = ['a', 'r1-1']

  constructor (id, host, port, control, record) {
    Object.assign(this, { id, host, port, control, record })
  }

  get address () {
    return `${this.host}:${this.port}`
  }

  get clockMs () {
    return Math.floor(performance.now() - this.steadyBaseMs)
  }

  /** Starts a life under the same id: it holds and knows nothing of before, and its counts and its clock start anew. */
  async start () {
    this.life++
    this.born = Date.now()
    this.steadyBaseMs = performance.now() - 1_000
    this.sequence = 0
    this.fence = 0
    this.leaseUntilMs = 0
    this.running = new Map()
    this.completed = []
    this.endCount = 0
    this.highest = new Map()
    this.waiters = new Set()
    this.server = serveJson(async (_method, url, body, headers) => await this.receive(url.pathname.replace('/egretvalve/', ''), body, headers))
    await listen(this.server, this.host, this.port)
    this.stepTimer = setInterval(() => { this.step() }, 5)
    this.beatTimer = setInterval(() => { this.beat() }, HEARTBEAT_MS)
    this.beat()
    this.record.write(`minion ${this.id} life ${this.life} is up`)
  }

  /** Ends this life: everything that runs ends with it. */
  crash () {
    clearInterval(this.stepTimer)
    clearInterval(this.beatTimer)
    for (const run of this.running.values()) this.close(run, 'crashed')
    this.running.clear()
    this.server.closeAllConnections()
    this.server.close()
    this.record.write(`minion ${this.id} life ${this.life} crashes`)
  }

  beat () {
    const body = JSON.stringify({ service: SERVICE, address: this.address, zone: 'zone-a', version: 'v1', slots: 8, state: this.isDraining ? 'draining' : 'ready', cold_remaining_ms: 0, capacity: { cpu: MINION_CPU, memory_request_mb: MINION_MEMORY_MB, gpus: 0 }, labels: this.labels, clock_ms: this.clockMs, sequence: ++this.sequence, born: this.born, machine: `m-${this.id}` })
    const request = http.request(`http://${this.control}/egretvalve/Instances.Heartbeat/${this.id}`, { method: 'POST', headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }, timeout: 1_000 }, response => { response.resume() })
    request.on('error', () => {})
    request.on('timeout', () => { request.destroy() })
    request.end(body)
  }

  async receive (name, body, headers) {
    while (this.frozenAtMs !== undefined) await this.thawed
    const taken = this.intercept(name, body, headers)
    if (taken === 'lost') return undefined
    return await this.perform(name, body, headers)
  }

  /** Stands still with its machine: nothing is answered, nothing runs, and the steady clock doesn't count. */
  freeze () {
    this.frozenAtMs = performance.now()
    this.thawed = new Promise(resolve => { this.wakeUp = resolve })
    clearInterval(this.stepTimer)
    clearInterval(this.beatTimer)
  }

  thaw () {
    const frozenMs = performance.now() - this.frozenAtMs
    this.frozenAtMs = undefined
    this.steadyBaseMs += frozenMs
    for (const run of this.running.values()) run.frozenMs += frozenMs
    this.stepTimer = setInterval(() => { this.step() }, 5)
    this.beatTimer = setInterval(() => { this.beat() }, HEARTBEAT_MS)
    this.wakeUp()
  }

  /** Carries out a call on the life that is up now. */
  async perform (name, body, headers) {
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) return { status: 421, body: { clock_ms: this.clockMs } }
    if ((body.fencing_token ?? 0) < this.fence) return this.refuse('fence')
    this.fence = body.fencing_token ?? 0
    this.step()
    switch (name) {
      case 'run-start': return this.startRun(body)
      case 'run-stop': return this.stopRun(body)
      case 'hold': return await this.hold(body)
      default: return { status: 404 }
    }
  }

  refuse (reason) {
    return { status: 409, body: { clock_ms: this.clockMs, reason } }
  }

  extendLease (deadlineMs) {
    if (deadlineMs !== undefined) this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, this.clockMs + BOUNDS.max_hold_ms))
  }

  startRun ({ task, run, spec, deadline_ms: deadlineMs }) {
    if (this.running.get(task)?.run === run) return { status: 200, body: { clock_ms: this.clockMs } }
    if (deadlineMs <= this.clockMs) return this.refuse('late')
    this.extendLease(deadlineMs)
    if (run <= (this.highest.get(task) ?? 0)) return this.refuse('old')
    const job = work.get(task.split('.')[0])
    const used = [...this.running.values()].reduce((sum, each) => sum + each.cpu, 0)
    if (used + (job?.cpu ?? 0) > MINION_CPU) return this.refuse('room')
    const started = { task, run, minion: this.id, life: this.life, labels: this.labels, startMs: now(), endMs: undefined, cause: undefined, frozenMs: 0, cpu: job?.cpu ?? 0, workMs: job?.workOf(task, run) ?? 0, isSent: job !== undefined && job.spec === spec }
    this.running.set(task, started)
    runs.push(started)
    this.record.write(`minion ${this.id} life ${this.life} starts ${task} run ${run}`)
    return { status: 200, body: { clock_ms: this.clockMs } }
  }

  stopRun ({ task, run }) {
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0))
    const active = this.running.get(task)
    if (active !== undefined && active.run <= run) this.end(active, 'stopped')
    return { status: 200, body: { clock_ms: this.clockMs } }
  }

  async hold ({ deadline_ms: deadlineMs, acked_through: ackedThrough = 0, wait_ms: waitMs = 0 }) {
    this.extendLease(deadlineMs)
    this.completed = this.completed.filter(([number]) => number > ackedThrough)
    const { life } = this
    if (this.completed.length === 0 && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, waitMs)
        this.waiters.add(wake)
      })
    }
    while (this.frozenAtMs !== undefined) await this.thawed
    if (life !== this.life) return undefined
    const running = [...this.running.values()].map(each => [each.task, each.run, '', Math.min(99, Math.floor((now() - each.startMs - each.frozenMs) / each.workMs * 100)), each.cpu])
    return { status: 200, body: { born: this.born, clock_ms: this.clockMs, running, completed: this.completed.slice(0, 500) } }
  }

  step () {
    const hasLapsed = this.clockMs > this.leaseUntilMs
    for (const run of [...this.running.values()]) {
      if (hasLapsed) this.end(run, 'lapsed')
      else if (now() - run.startMs - run.frozenMs >= run.workMs) this.end(run, 'done')
    }
  }

  end (run, cause) {
    this.running.delete(run.task)
    this.highest.set(run.task, Math.max(run.run, this.highest.get(run.task) ?? 0))
    this.completed.push([++this.endCount, run.task, run.run, cause, ''])
    this.close(run, cause)
    for (const wake of [...this.waiters]) wake()
  }

  close (run, cause) {
    run.endMs = now()
    run.cause = cause
    this.record.write(`minion ${this.id} life ${run.life} ends ${run.task} run ${run.run}: ${cause}`)
  }
}

/** A relay in front of an address. `reset` resets connections that pass through it, at both ends. */
export class Relay {
  pairs = new Set()

  async start (host, port, target) {
    this.server = net.createServer(client => {
      const [targetHost, targetPort] = target.split(':')
      const server = net.connect({ host: targetHost, port: Number(targetPort) })
      const pair = { client, server }
      this.pairs.add(pair)
      for (const socket of [client, server]) {
        socket.setNoDelay(true)
        socket.on('error', () => {})
        socket.on('close', () => {
          this.pairs.delete(pair)
          client.destroy()
          server.destroy()
        })
      }
      client.pipe(server)
      server.pipe(client)
    })
    await listen(this.server, host, port)
  }

  /** Resets a number of the open connections. */
  reset (count) {
    const chosen = [...this.pairs].slice(0, count)
    for (const { client, server } of chosen) {
      client.resetAndDestroy()
      server.resetAndDestroy()
    }
    return chosen.length
  }

  stop () {
    this.reset(this.pairs.size)
    this.server.close()
  }
}

/** The arguments that the deploy file gives to `node` for a role. */
function commandOf (role) {
  const deployed = fs.readFileSync('deploy/system.toml', 'utf8')
  return new RegExp(`run = "node (.*) ${role}"`).exec(deployed)[1].split(' ').concat(role)
}

/** A process of the project's own. */
class Program {
  constructor (role, settings, folder) {
    this.role = role
    this.name = settings.node_name
    this.folder = folder
    this.file = path.join(folder, `${settings.node_name}.json`)
    fs.writeFileSync(this.file, JSON.stringify(settings))
  }

  start () {
    const log = fs.openSync(path.join(this.folder, `${this.name}.log`), 'a')
    this.child = spawn(process.execPath, commandOf(this.role), { env: { PATH: process.env.PATH, EGRETVALVE_SETTINGS: this.file }, stdio: ['ignore', log, log] })
    this.isRunning = true
    this.child.once('exit', () => { this.isRunning = false })
  }

  signal (name) {
    if (this.isRunning) this.child.kill(name)
  }

  async kill () {
    if (!this.isRunning) return
    const ended = new Promise(resolve => { this.child.once('exit', resolve) })
    this.child.kill('SIGCONT')
    this.child.kill('SIGKILL')
    await ended
  }
}

/** Entries, agents and minions on loopback addresses, as on a small site. */
export class System {
  entries = []
  agents = []
  minions = []
  relays = []
  store = new Store()

  /** `kindOf` returns the kind of the minion of a machine, by its number from 0. */
  constructor (record, { entries, agents, hasRelays = false, kindOf = () => 'a' }) {
    Object.assign(this, { record, size: { entries, agents }, hasRelays, kindOf })
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  }

  async start () {
    await this.chooseAddresses()
    const { net: octet, port } = this
    await this.store.start(`127.${octet}.9.1`, port)
    const route = (name, prefix, priority, attempts) => ({ name, host: HOST, path_prefix: prefix, type: 'non_idempotent', timeout_ms: 1_500, target_latency_ms: 60, priority, service: SERVICE, max_attempts: attempts, slack_factor: 1.6 })
    this.store.put('op/config', JSON.stringify({ version: 7, routes: [route('r-a', '/check/', 0, 2), route('r-b', '/reserve/', 2, 2)], services: [{ name: SERVICE, health_check_path: '/health', max_connections: 64, protocol: 'h1', tls: false, enforce_capacity: true, standby: false }], limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 } }))
    for (let number = 1; number <= this.size.entries; number++) await this.addEntry(number)
    for (let number = 1; number <= this.size.agents; number++) this.addAgent(number)
    for (const program of [...this.entries, ...this.agents]) program.start()
    for (const minion of this.minions) await minion.start()
    await this.waitUntilReady()
    this.record.write(`ready: ${this.size.entries} entries, ${this.size.agents} agents`)
  }

  /** Picks a free part of the loopback range and free ports. */
  async chooseAddresses () {
    for (let attempt = 0; attempt < 20; attempt++) {
      this.net = 20 + Math.floor(Math.random() * 200)
      this.port = 20_000 + Math.floor(Math.random() * 9_000)
      const probe = net.createServer()
      try {
        await listen(probe, `127.${this.net}.9.1`, this.port)
        await new Promise(resolve => { probe.close(resolve) })
        return
      } catch {
        continue
      }
    }
    throw new Error('no free port')
  }

  settings (name, ip, role, addresses, extra = {}) {
    const { port } = this
    const seeds = Array.from({ length: Math.min(3, this.size.entries) }, (_, index) => `127.${this.net}.${this.hasRelays ? 8 : 0}.${index + 1}:${port + 6}`)
    return { node_name: name, role, machine_class: extra.app === undefined ? 'edge' : 'side', serves: extra.app === undefined ? ['edge', 'control'] : ['side'], ip, zone: 'zone-a', region: 'region', zones: { 'zone-a': 'region' }, bind_addresses: addresses, internal_port_range: [port + 10, port + 25], seed_nodes: seeds, bootstrap: true, counted_in_tolerance: false, limits: { cpu_fraction: 0.675, cpu_cores: 1, memory_mb: 350, max_open_files: 4100, link_mbps: 1000, disk_mb: 0 }, data_dir: null, discovery: 'local', entry_point: 'vip', heartbeat_ms: HEARTBEAT_MS, fault_tolerance: { machines: 1, zones: 0, regions: 0 }, bounds: BOUNDS, command_mode: 'request', platform: { address: this.store.address, form: 'kv', writes_per_s: 400, reads_per_s: 2000, history_retention_s: 20, value_bytes: 1_048_576, min_ttl_ms: 1000 }, ...extra }
  }

  async addEntry (number) {
    const ip = `127.${this.net}.0.${number}`
    const entry = new Program('entry', this.settings(`edge-${number}`, ip, 'entry', { frontend: `${ip}:${this.port + 1}`, ready: `${ip}:${this.port + 7}`, control_plane: `${ip}:${this.port + 6}` }), this.folder)
    entry.frontend = { host: ip, port: this.port + 1 }
    entry.ready = `http://${ip}:${this.port + 7}/egretvalve/ready`
    this.entries.push(entry)
    if (!this.hasRelays) return
    const relay = new Relay()
    const host = `127.${this.net}.8.${number}`
    await relay.start(host, this.port + 10, `${ip}:${this.port + 10}`)
    this.store.relays.set(`${ip}:${this.port + 10}`, `${host}:${this.port + 10}`)
    entry.relay = relay
    this.relays.push(relay)
  }

  addAgent (number) {
    const ip = `127.${this.net}.1.${number}`
    const control = `${ip}:${this.port + 6}`
    const minion = new Minion(`i-${number}`, ip, this.port + 5, control, this.record)
    minion.labels = [this.kindOf(number - 1), 'r1-1']
    this.minions.push(minion)
    this.agents.push(new Program('agent', this.settings(`side-${number}`, ip, 'agent', { control_plane: control }, { app: minion.address, service: SERVICE }), this.folder))
  }

  async waitUntilReady (limitMs = 15_000) {
    const untilMs = now() + limitMs
    for (const entry of this.entries) {
      for (;;) {
        const answer = await fetch(entry.ready).then(async response => ({ status: response.status, body: await response.json() }), () => undefined)
        if (answer?.status === 200 && answer.body.workers === this.size.agents) break
        if (now() > untilMs) throw new Error(`${entry.name} is not ready`)
        await sleep(50)
      }
    }
  }

  async stop () {
    await Promise.all([...this.entries, ...this.agents].map(async program => { await program.kill() }))
    for (const minion of this.minions) if (minion.server?.listening) minion.crash()
    for (const relay of this.relays) relay.stop()
    this.store.stop()
    if (process.env.KEEP === undefined) fs.rmSync(this.folder, { recursive: true, force: true })
    else console.log(this.folder)
  }
}

let nextJob = Math.floor(Math.random() * 0xffffff)

/** Returns a new job id. */
export function createJobId () {
  return (++nextJob).toString(16).padStart(16, '5c0e7a21d94b0000').slice(-16)
}

/** Declares a job's tasks to the minions. `workOf` returns the work of a task in milliseconds. */
export function declareJob (jobId, { spec, cpu, workOf }) {
  work.set(jobId, { spec, cpu, workOf })
}

/** Sends a request on a connection of its own. Resolves with the status, 'broken' for a broken connection or 'silent' after the deadline. */
export function send (record, entry, method, target, { body, deadlineMs = 1_500 } = {}) {
  const text = body === undefined ? '' : JSON.stringify(body)
  const headers = { host: HOST, 'x-deadline-ms': String(deadlineMs) }
  if (text !== '') Object.assign(headers, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  record.write(`caller sends ${method} ${target} to ${entry.name}`)
  const call = { status: undefined, endedMs: undefined }
  call.ended = new Promise(resolve => {
    const finish = (status, answer = '') => {
      if (call.status !== undefined) return
      call.status = status
      call.endedMs = now()
      call.answer = answer
      clearTimeout(timer)
      record.write(`caller gets ${status} ${answer} for ${method} ${target} from ${entry.name}`)
      resolve(status)
    }
    const request = http.request({ ...entry.frontend, method, path: target, headers, agent: false }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('error', () => { finish('broken') })
      response.on('end', () => { finish(response.statusCode, Buffer.concat(chunks).toString()) })
    })
    const timer = setTimeout(() => {
      finish('silent')
      request.destroy()
    }, deadlineMs)
    request.on('error', () => { finish('broken') })
    call.reset = () => { request.socket?.resetAndDestroy() }
    request.end(text)
  })
  return call
}

/** Callers that keep the entries busy with short jobs. */
export class Background {
  constructor (system, record, { perSecond, tasks, cpu, workMs }) {
    let next = 0
    this.timer = setInterval(() => {
      const jobId = createJobId()
      const spec = 'background'
      declareJob(jobId, { spec, cpu, workOf: () => workMs })
      const steps = [{ count: tasks, cpu, memory_request_mb: 64, estimated_ms: workMs }]
      send(record, system.entries[next++ % system.entries.length], 'POST', `/check/${jobId}`, { body: { spec, steps, best_effort: true } })
    }, 1_000 / perSecond)
  }

  stop () {
    clearInterval(this.timer)
  }
}

/** Lists the pairs of runs of one task that overlap in time, on minions that are up. */
export function findOverlaps () {
  const overlaps = []
  for (const [index, left] of runs.entries()) {
    for (const right of runs.slice(index + 1)) {
      if (left.task !== right.task) continue
      const fromMs = Math.max(left.startMs, right.startMs)
      const toMs = Math.min(left.endMs ?? now(), right.endMs ?? now())
      if (toMs > fromMs) overlaps.push({ task: left.task, left, right, fromMs, toMs })
    }
  }
  return overlaps
}

/** Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export async function runCase (folder, size, play) {
  const record = new Record(folder)
  const hasTrouble = process.env.TROUBLE !== '0'
  record.write(`the disruption is ${hasTrouble ? 'on' : 'off'}`)
  const system = new System(record, size)
  let exitCode = 2
  const giveUp = async reason => {
    record.write(reason)
    console.log(reason)
    await system.stop()
    process.exit(2)
  }
  const limit = setTimeout(() => { giveUp('the case took too long') }, 110_000)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => { giveUp(`ended by ${signal}`) })
  try {
    await system.start()
    const broken = await play(system, record, hasTrouble)
    exitCode = broken.length > 0 ? 1 : 0
    for (const line of broken) record.write(`BROKEN ${line}`)
    record.write(exitCode === 1 ? `the rule is broken, ${broken.length} times` : 'the rule held')
    console.log(exitCode === 1 ? `broken ${broken.length} times; ${broken[0]}` : 'held')
  } catch (thrown) {
    exitCode = 2
    record.write(`could not run: ${thrown.stack}`)
    console.log(`could not run: ${thrown.message}`)
  }
  clearTimeout(limit)
  await system.stop()
  process.exit(exitCode)
}
