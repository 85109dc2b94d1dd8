/** Stand-ins for the platform's store and for minions, after PROTOCOL.md. Plain Node.js without dependencies. */
import http from 'node:http'
import net from 'node:net'

const WHOLE_MS = 1

export function nowMs () {
  return Number(process.hrtime.bigint() / 1_000_000n)
}

export async function sleep (ms) {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}

async function readJson (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString()
  return text === '' ? {} : JSON.parse(text)
}

function answer (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(body === undefined ? '' : JSON.stringify(body))
}

async function listen (server, host, port) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address()
  return `${bound.address}:${bound.port}`
}

/** The platform's metadata store: linearizable, with leases, watches and a history that is never dropped here. */
export class Store {
  constructor (answerMs = 4) {
    this.answerMs = answerMs
    this.revision = 1
    this.items = new Map()
    this.leases = new Map()
    this.history = []
    this.watchers = new Set()
    this.lastLease = 0
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => { response.destroy() })
    })
    this.server.keepAliveTimeout = 60_000
    this.sweeper = setInterval(() => { this.endLeases() }, 50)
  }

  async start (host) {
    this.address = await listen(this.server, host, 0)
  }

  stop () {
    clearInterval(this.sweeper)
    this.server.closeAllConnections()
    this.server.close()
  }

  put (key, value, lease = 0) {
    this.revision++
    this.write(key, Buffer.from(value).toString('base64'), lease)
    this.notify()
  }

  write (key, value, lease) {
    const item = { key, value, revision: this.revision, created: this.items.get(key)?.created ?? this.revision, lease }
    this.items.set(key, item)
    this.history.push(item)
  }

  drop (key) {
    if (!this.items.delete(key)) return
    this.history.push({ key, revision: this.revision, deleted: true })
  }

  notify () {
    for (const watcher of [...this.watchers]) watcher()
  }

  endLeases () {
    for (const [lease, { untilMs }] of this.leases) if (untilMs <= nowMs()) this.endLease(lease)
  }

  endLease (lease) {
    if (!this.leases.delete(lease)) return
    this.revision++
    for (const item of [...this.items.values()]) if (item.lease === lease) this.drop(item.key)
    this.notify()
  }

  /** Takes keys away, as if their leases had ended, and returns them. No answer shows it. */
  takeAway (isTaken) {
    const keys = [...this.items.keys()].filter(isTaken)
    for (const { lease } of keys.map(key => this.items.get(key))) {
      if (lease) this.endLease(lease)
    }
    return keys
  }

  /** Value of a key as text; undefined without it. */
  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString()
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const name = url.pathname.replace('/egretvalve/', '')
    const body = await readJson(request)
    await sleep(this.answerMs)
    this.endLeases()
    if (name === 'kv-key') {
      const item = this.items.get(url.searchParams.get('key') ?? '')
      return item === undefined ? answer(response, 404) : answer(response, 200, { ...item, at_revision: this.revision })
    }
    if (name === 'kv-range') {
      const prefix = url.searchParams.get('path_prefix') ?? ''
      const after = url.searchParams.get('after') ?? ''
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
      return answer(response, 200, { items: items.slice(0, 500), has_more: items.length > 500, at_revision: this.revision })
    }
    if (name === 'kv-watch') {
      const prefix = url.searchParams.get('path_prefix') ?? ''
      const after = Number(url.searchParams.get('after'))
      const find = () => this.history.filter(event => event.revision > after && event.key.startsWith(prefix))
      const untilMs = nowMs() + Number(url.searchParams.get('wait_ms'))
      while (find().length === 0 && nowMs() < untilMs && !response.destroyed) {
        await new Promise(resolve => {
          const wake = () => {
            clearTimeout(timer)
            this.watchers.delete(wake)
            resolve()
          }
          const timer = setTimeout(wake, Math.max(WHOLE_MS, untilMs - nowMs()))
          this.watchers.add(wake)
        })
      }
      return answer(response, 200, { events: find(), at_revision: this.revision })
    }
    if (name === 'kv-txn') {
      const { expected = [], writes = [], remove = [] } = body
      const state = expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 })
      if (state.some(({ revision }, index) => revision !== expected[index].revision)) return answer(response, 412, { items: state })
      if (writes.some(({ lease }) => lease && !this.leases.has(lease))) return answer(response, 404)
      this.revision++
      for (const { key, value, lease = 0 } of writes) this.write(key, value, lease)
      for (const key of remove) this.drop(key)
      this.notify()
      return answer(response, 200, { revision: this.revision })
    }
    if (name === 'kv-lease') {
      const lease = ++this.lastLease
      const ttlMs = Math.min(600_000, Math.max(1_000, body.ttl_ms))
      this.leases.set(lease, { ttlMs, untilMs: nowMs() + ttlMs })
      return answer(response, 200, { lease, ttl_ms: ttlMs })
    }
    const lease = Number(name.split('/')[1])
    if (name.startsWith('kv-keep/')) {
      const held = this.leases.get(lease)
      if (held === undefined) return answer(response, 404)
      held.untilMs = nowMs() + held.ttlMs
      return answer(response, 200, { lease, ttl_ms: held.ttlMs })
    }
    if (name.startsWith('kv-lease-end/')) {
      this.endLease(lease)
      return answer(response, 200, {})
    }
    return answer(response, 404)
  }
}

/** A TCP proxy on a path between two machines. While it is cut, nothing passes in either direction and new connections hang. */
export class Proxy {
  constructor (target) {
    this.target = target
    this.isCut = false
    this.pairs = new Set()
    this.server = net.createServer({ allowHalfOpen: true }, near => { this.connect(near) })
  }

  async start (host) {
    this.address = await listen(this.server, host, 0)
  }

  connect (near) {
    const [host, port] = this.target.split(':')
    const far = net.connect({ host, port: Number(port), allowHalfOpen: true })
    const pair = { near, far }
    this.pairs.add(pair)
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on('data', chunk => { to.write(chunk) })
      from.on('end', () => { to.end() })
      from.on('error', () => { to.destroy() })
      from.on('close', () => {
        to.destroy()
        this.pairs.delete(pair)
      })
    }
    if (this.isCut) this.pause(pair)
  }

  pause ({ near, far }) {
    near.pause()
    far.pause()
  }

  cut () {
    this.isCut = true
    for (const pair of this.pairs) this.pause(pair)
  }

  heal () {
    this.isCut = false
    for (const { near, far } of this.pairs) {
      near.resume()
      far.resume()
    }
  }

  stop () {
    for (const { near, far } of this.pairs) {
      near.destroy()
      far.destroy()
    }
    this.server.close()
  }
}

/** A minion that guards its capacity. `workMsOf(task, spec)` is the run time of a task. */
export class Minion {
  constructor ({ id, service, zone, labels, agentMachine, record, workMsOf, capacity = { cpu: 32_000, memory_request_mb: 131_072, gpus: 0 }, beatMs = 1_500, maxHoldMs = 1_000 }) {
    Object.assign(this, { id, service, zone, labels, agentMachine, record, workMsOf, capacity, beatMs, maxHoldMs })
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => { response.destroy() })
    })
    this.server.keepAliveTimeout = 60_000
    this.reset()
  }

  reset () {
    this.born = Date.now()
    this.startedAtMs = nowMs()
    this.sequence = 0
    this.token = 0
    this.leaseUntilMs = 0
    this.lastEnd = 0
    this.runs = new Map()
    this.highest = new Map()
    this.ends = []
    this.waiters = new Set()
  }

  get clockMs () {
    return nowMs() - this.startedAtMs
  }

  async start (host, reportAddress) {
    this.reportAddress = reportAddress
    this.address = await listen(this.server, host, 0)
  }

  startBeats () {
    this.checker = setInterval(() => { this.check() }, 5)
    this.beats = setInterval(() => { this.beat() }, this.beatMs)
    this.beat()
  }

  stop () {
    clearInterval(this.checker)
    clearInterval(this.beats)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Crashes: what runs is gone, nothing listens at the address, and nothing is sent. */
  crash () {
    this.record({ what: 'minion crashed', minion: this.id })
    for (const { task, run } of this.runs.values()) this.record({ what: 'end', minion: this.id, task, run, how: 'crashed' })
    this.runs.clear()
    this.stop()
  }

  /** Starts again at its address, under its id, and reports itself at once. */
  async restart () {
    this.reset()
    const [host, port] = this.address.split(':')
    await new Promise(resolve => { this.server.listen(Number(port), host, resolve) })
    this.record({ what: 'minion started', minion: this.id })
    this.startBeats()
  }

  beat () {
    const body = JSON.stringify({ service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity: this.capacity, labels: this.labels, machine: this.agentMachine, clock_ms: this.clockMs, sequence: ++this.sequence, born: this.born })
    const [host, port] = this.reportAddress.split(':')
    const request = http.request({ host, port, method: 'POST', path: `/egretvalve/Instances.Heartbeat/${this.id}`, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }, timeout: 1_000 }, response => { response.resume() })
    request.on('error', () => {})
    request.on('timeout', () => { request.destroy() })
    request.end(body)
  }

  check () {
    const atMs = this.clockMs
    for (const run of [...this.runs.values()]) {
      if (atMs >= run.endsAtMs) this.end(run, 'done')
      else if (atMs >= this.leaseUntilMs) this.end(run, 'lapsed')
    }
  }

  end (run, how) {
    if (this.runs.get(run.task) !== run) return
    this.runs.delete(run.task)
    this.ends.push([++this.lastEnd, run.task, run.run, how, ''])
    this.record({ what: 'end', minion: this.id, task: run.task, run: run.run, how })
    for (const wake of [...this.waiters]) wake()
  }

  get used () {
    const used = { cpu: 0, memory_request_mb: 0 }
    for (const { size } of this.runs.values()) {
      used.cpu += size.cpu
      used.memory_request_mb += size.memory_request_mb
    }
    return used
  }

  extend (deadlineMs) {
    if (typeof deadlineMs === 'number') this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, this.clockMs + this.maxHoldMs))
  }

  fits (size) {
    const { used, capacity } = this
    return used.cpu + size.cpu <= capacity.cpu && used.memory_request_mb + size.memory_request_mb <= capacity.memory_request_mb
  }

  async handle (request, response) {
    const body = await readJson(request)
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return answer(response, 421)
    const reply = (status, more = {}) => { answer(response, status, { clock_ms: this.clockMs, born: this.born, ...more }) }
    const token = body.fencing_token ?? 0
    if (token < this.token) return reply(409, { reason: 'fence' })
    this.token = token
    this.check()
    switch (request.url) {
      case '/egretvalve/run-start': {
        const { task, run, spec, deadline_ms: deadlineMs } = body
        if (this.runs.get(task)?.run === run) return reply(200)
        if (typeof deadlineMs !== 'number' || deadlineMs <= this.clockMs) return reply(409, { reason: 'late' })
        this.extend(deadlineMs)
        if (run <= (this.highest.get(task) ?? 0)) return reply(409, { reason: 'old' })
        const { workMs, size } = this.workMsOf(task, spec)
        if (!this.fits(size)) return reply(409, { reason: 'room' })
        this.highest.set(task, run)
        this.runs.set(task, { task, run, size, startedAtMs: this.clockMs, endsAtMs: this.clockMs + workMs, workMs })
        this.record({ what: 'start', minion: this.id, task, run })
        return reply(200)
      }
      case '/egretvalve/run-stop': {
        const { task, run } = body
        this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0))
        const active = this.runs.get(task)
        if (active?.run === run) setTimeout(() => { this.end(active, 'stopped') }, 20)
        return reply(200)
      }
      case '/egretvalve/hold': {
        this.ends = this.ends.filter(([number]) => number > (body.acked_through ?? 0))
        this.extend(body.deadline_ms)
        if (this.ends.length === 0 && body.wait_ms > 0) {
          await new Promise(resolve => {
            const wake = () => {
              clearTimeout(timer)
              this.waiters.delete(wake)
              resolve()
            }
            const timer = setTimeout(wake, Math.min(2_000, body.wait_ms))
            this.waiters.add(wake)
          })
        }
        const running = [...this.runs.values()].map(run => [run.task, run.run, '', Math.floor(Math.min(99, (this.clockMs - run.startedAtMs) * 100 / run.workMs)), run.size.cpu])
        return reply(200, { running, completed: this.ends.slice(0, 500) })
      }
      default: return reply(404)
    }
  }
}
