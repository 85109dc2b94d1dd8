/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import * as http from 'node:http'

const HISTORY = 10_000

export class Store {
  items = new Map()
  leases = new Map()
  events = []
  revision = 10
  nextLease = 1
  watchers = new Set()
  /** Called with each call; an answer from it replaces that of the store. */
  intercept = () => undefined

  async start (host) {
    this.server = http.createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('end', async () => {
        const url = new URL(request.url, 'http://store')
        const text = Buffer.concat(chunks).toString()
        const body = text === '' ? undefined : JSON.parse(text)
        const answer = await this.intercept(request, url, body) ?? await this.handle(request.method, url, body)
        if (answer === 'none') return
        response.writeHead(answer.status, { 'content-type': 'application/json' })
        response.end(answer.body === undefined ? undefined : JSON.stringify(answer.body))
      })
    })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => { this.server.listen(0, host, resolve) })
    this.address = `${host}:${this.server.address().port}`
    this.sweeper = setInterval(() => { this.expireLeases() }, 50)
  }

  close () {
    clearInterval(this.sweeper)
    this.server.closeAllConnections()
    this.server.close()
  }

  put (key, text, lease = 0) {
    this.change([{ key, value: Buffer.from(text).toString('base64'), lease }], [])
  }

  change (writes, removed) {
    this.revision++
    for (const { key, value, lease } of writes) {
      const item = { key, value, revision: this.revision, created: this.items.get(key)?.created ?? this.revision, lease: lease ?? 0 }
      this.items.set(key, item)
      this.events.push(item)
    }
    for (const key of removed) {
      if (!this.items.delete(key)) continue
      this.events.push({ key, revision: this.revision, deleted: true })
    }
    this.events = this.events.slice(-HISTORY)
    for (const wake of [...this.watchers]) wake()
  }

  expireLeases () {
    for (const [lease, { untilMs }] of this.leases) if (performance.now() > untilMs) this.endLease(lease)
  }

  endLease (lease) {
    this.leases.delete(lease)
    const keys = [...this.items.values()].filter(item => item.lease === lease).map(({ key }) => key)
    if (keys.length > 0) this.change([], keys)
  }

  async handle (method, url, body) {
    const [, , name, id] = url.pathname.split('/')
    const query = url.searchParams
    switch (name) {
      case 'kv-key': {
        const item = this.items.get(query.get('key'))
        return item === undefined ? { status: 404 } : { status: 200, body: item }
      }
      case 'kv-range': {
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(query.get('path_prefix')) && key > (query.get('after') ?? ''))
        return { status: 200, body: { items: items.sort((left, right) => left.key < right.key ? -1 : 1), has_more: false, at_revision: this.revision } }
      }
      case 'kv-watch': return await this.watch(query.get('path_prefix'), Number(query.get('after')), Number(query.get('wait_ms')))
      case 'kv-txn': return this.write(body)
      case 'kv-lease': {
        const lease = this.nextLease++
        this.leases.set(lease, { ttlMs: body.ttl_ms, untilMs: performance.now() + body.ttl_ms })
        return { status: 200, body: { lease, ttl_ms: body.ttl_ms } }
      }
      case 'kv-keep': {
        const lease = this.leases.get(Number(id))
        if (lease === undefined) return { status: 404 }
        lease.untilMs = performance.now() + lease.ttlMs
        return { status: 200, body: { lease: Number(id), ttl_ms: lease.ttlMs } }
      }
      case 'kv-lease-end': {
        if (!this.leases.has(Number(id))) return { status: 404 }
        this.endLease(Number(id))
        return { status: 200, body: {} }
      }
      default: return { status: 404 }
    }
  }

  async watch (prefix, after, waitMs) {
    const find = () => this.events.filter(event => event.revision > after && event.key.startsWith(prefix))
    const untilMs = performance.now() + waitMs
    while (find().length === 0 && performance.now() < untilMs) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.watchers.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, untilMs - performance.now())
        this.watchers.add(wake)
      })
    }
    return { status: 200, body: { events: find(), at_revision: this.revision } }
  }

  write ({ expected = [], writes = [], remove = [] }) {
    const isMet = expected.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)
    if (!isMet) return { status: 412, body: { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) } }
    if (writes.some(({ lease }) => lease !== 0 && lease !== undefined && !this.leases.has(lease))) return { status: 404 }
    if ([...writes.map(({ key }) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403 }
    this.change(writes, remove)
    return { status: 200, body: { revision: this.revision } }
  }
}
