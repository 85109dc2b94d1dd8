/** Stand-in for a minion that guards its capacity, as PROTOCOL.md describes it. A task's work is `{"ms": N}` in its `spec`. */
import * as http from 'node:http'

const HEARTBEAT_MS = 1_500
const MAX_HOLD_MS = 1_000
const ANSWER_TIMEOUT_MS = 1_000
const MAX_LISTED_ENDS = 500

export class Minion {
  life = 0
  isUp = false

  constructor ({ fleet, name, address, control, service, zone, capacity, labels }) {
    Object.assign(this, { fleet, name, address, control, service, zone, capacity, labels })
  }

  /** Begins a life. The `id` stays; all else is new. */
  async start () {
    this.life++
    this.isUp = true
    this.born = Date.now()
    this.startedAtMs = performance.now()
    this.token = 0
    this.sequence = 0
    this.state = 'ready'
    this.running = new Map()
    this.highestRun = new Map()
    this.ends = []
    this.lastEnd = 0
    this.leaseUntilMs = 0
    this.waiters = new Set()
    this.server = http.createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('end', () => { this.receive(request, response, JSON.parse(Buffer.concat(chunks).toString())) })
    })
    this.server.keepAliveTimeout = 30_000
    const [host, port] = this.address.split(':')
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(port), host, resolve)
    })
    this.beats = setInterval(() => { this.sendHeartbeat() }, HEARTBEAT_MS)
    this.leaseCheck = setInterval(() => { this.checkLease() }, 5)
    this.sendHeartbeat()
  }

  get clockMs () {
    return performance.now() - this.startedAtMs
  }

  /** Ends this life: nothing runs any more, and nothing listens. */
  crash () {
    this.fleet.note('minion-down', { minion: this.name, runs: [...this.running.keys()].join(',') })
    for (const { timer, task, run } of this.running.values()) {
      clearTimeout(timer)
      this.fleet.note('run-end', { minion: this.name, life: this.life, task, run, how: 'crash' })
    }
    this.running.clear()
    this.close()
  }

  close () {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.beats)
    clearInterval(this.leaseCheck)
    for (const { timer } of this.running.values()) clearTimeout(timer)
    for (const wake of this.waiters) wake()
    this.server.closeAllConnections()
    this.server.close()
  }

  sendHeartbeat () {
    const [host, port] = this.control.split(':')
    const body = JSON.stringify({ service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: 8, state: this.state, cold_remaining_ms: 0, capacity: this.capacity, labels: this.labels, machine: `m-${this.name}`, clock_ms: this.clockMs, sequence: ++this.sequence, born: this.born })
    const request = http.request({ host, port, method: 'POST', path: `/egretvalve/Instances.Heartbeat/${this.name}`, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }, timeout: ANSWER_TIMEOUT_MS, agent: false }, response => {
      response.resume()
      if (!this.isBeaten && response.statusCode === 200) this.isBeaten = true
    })
    request.on('error', () => { if (!this.isBeaten && this.isUp) setTimeout(() => { if (this.isUp && !this.isBeaten) this.sendHeartbeat() }, 200) })
    request.on('timeout', () => { request.destroy() })
    request.end(body)
  }

  receive (request, response, body) {
    const { life } = this
    this.answer(request.url, request.headers, body).then(answer => {
      if (answer === undefined || life !== this.life || !this.isUp) return
      response.writeHead(answer.status, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ clock_ms: this.clockMs, born: this.born, ...answer.body }))
    })
  }

  async answer (url, headers, body) {
    const expected = headers['x-expect-instance']
    if (expected !== undefined && expected !== this.name) return { status: 421 }
    switch (url) {
      case '/egretvalve/run-start': return this.startRun(body)
      case '/egretvalve/run-stop': return this.stopRun(body)
      case '/egretvalve/hold': return await this.hold(body)
      default: return { status: 404 }
    }
  }

  isFenced ({ fencing_token: token = 0 }) {
    if (token < this.token) return true
    this.token = token
    return false
  }

  extend (deadlineMs) {
    if (deadlineMs !== undefined) this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS))
  }

  get used () {
    const used = { cpu: 0, memory_request_mb: 0 }
    for (const { size } of this.running.values()) {
      used.cpu += size.cpu
      used.memory_request_mb += size.memory_request_mb
    }
    return used
  }

  startRun (body) {
    const { task, run, spec, deadline_ms: deadlineMs } = body
    if (this.isFenced(body)) return { status: 409, body: { reason: 'fence' } }
    if (this.running.get(task)?.run === run) return { status: 200 }
    if (deadlineMs <= this.clockMs) return { status: 409, body: { reason: 'late' } }
    this.extend(deadlineMs)
    if (run <= (this.highestRun.get(task) ?? 0) || this.running.has(task)) return { status: 409, body: { reason: 'old' } }
    const { ms = 100, cpu = 0, memory_request_mb: memory = 0 } = readSpec(spec)
    const { used } = this
    if (used.cpu + cpu > this.capacity.cpu || used.memory_request_mb + memory > this.capacity.memory_request_mb) return { status: 409, body: { reason: 'room' } }
    const timer = setTimeout(() => { this.endRun(task, 'done') }, ms)
    this.running.set(task, { task, run, size: { cpu, memory_request_mb: memory }, startedAtMs: performance.now(), ms, timer })
    if (this.fleet.isQuiet !== true) this.fleet.note('run-start', { minion: this.name, life: this.life, task, run, spec: this.fleet.showsSpec === true ? JSON.stringify(spec) : undefined })
    this.fleet.onStart?.(this, task, run, spec)
    return { status: 200 }
  }

  endRun (task, how) {
    const known = this.running.get(task)
    if (known === undefined) return
    clearTimeout(known.timer)
    this.running.delete(task)
    this.highestRun.set(task, Math.max(known.run, this.highestRun.get(task) ?? 0))
    this.ends.push([++this.lastEnd, task, known.run, how, ''])
    if (this.fleet.isQuiet !== true) this.fleet.note('run-end', { minion: this.name, life: this.life, task, run: known.run, how })
    for (const wake of this.waiters) wake()
  }

  stopRun (body) {
    const { task, run } = body
    if (this.isFenced(body)) return { status: 409, body: { reason: 'fence' } }
    if (this.running.get(task)?.run === run) setTimeout(() => { if (this.running.get(task)?.run === run) this.endRun(task, 'stopped') }, 10)
    else this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0))
    return { status: 200 }
  }

  async hold (body) {
    const { acked_through: acked = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 } = body
    if (this.isFenced(body)) return { status: 409, body: { reason: 'fence' } }
    this.ends = this.ends.filter(([number]) => number > acked)
    this.extend(deadlineMs)
    if (waitMs > 0 && this.ends.length === 0) await this.waitForEnd(waitMs)
    const running = [...this.running.values()].map(({ task, run, startedAtMs, ms }) => [task, run, '', Math.min(99, Math.floor(100 * (performance.now() - startedAtMs) / Math.max(1, ms))), 0])
    return { status: 200, body: { running, completed: this.ends.slice(0, MAX_LISTED_ENDS) } }
  }

  async waitForEnd (waitMs) {
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

  checkLease () {
    if (this.clockMs <= this.leaseUntilMs) return
    for (const task of [...this.running.keys()]) this.endRun(task, 'lapsed')
  }
}

function readSpec (spec) {
  try {
    return JSON.parse(spec)
  } catch {
    return {}
  }
}
