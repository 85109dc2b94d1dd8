// Writes the V8 code cache of the platform programs after jobs have run, so that it holds the functions of the path of a job and not only
// those that run when the modules are loaded. An entry and an agent serve jobs of a loopback caller in this process, with an in-memory
// store and worker. Usage: `node FLAGS scripts/warmUp.mjs`, after the bundle has been written.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import * as http from 'node:http'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import path from 'node:path'

/** The programs serve metrics at a fixed port, so each has a loopback address of its own, which other builds at the same time do not use. */
const ENTRY_HOST = createLoopbackAddress()
const AGENT_HOST = createLoopbackAddress()
const STANDIN_HOST = '127.0.0.1'
const FIRST_PORT = 18_900
const JOBS = 400
const CONCURRENT_JOBS = 8
const WORK_MS = 5
const CONFIGURATION = {
  version: 1,
  routes: [{ name: 'warm-up', host: 'warm-up.example', path_prefix: '/jobs/', type: 'non_idempotent', timeout_ms: 1_500, target_latency_ms: 60, priority: 0, service: 'warm-up', max_attempts: 2, slack_factor: 1.6 }],
  services: [{ name: 'warm-up', enforce_capacity: true }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }
}
/** Time after which the build goes on with a cache of what has run until then. */
const LIMIT_MS = 20_000

const sleep = async ms => { await new Promise(resolve => { setTimeout(resolve, ms) }) }
const clockMs = () => Math.floor(performance.now())

function createLoopbackAddress () {
  const octet = () => 1 + Math.floor(Math.random() * 253)
  return `127.${octet()}.${octet()}.${octet()}`
}

/** Starts an HTTP server that answers with JSON and resolves with its address. */
async function serve (handle) {
  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', async () => {
      const text = Buffer.concat(chunks).toString()
      const { status = 200, body = {} } = await handle(new URL(request.url, 'http://local'), text === '' ? {} : JSON.parse(text)) ?? {}
      response.writeHead(status, { 'content-type': 'application/json' })
      response.end(JSON.stringify(body))
    })
  })
  await new Promise(resolve => { server.listen(0, STANDIN_HOST, resolve) })
  return `${STANDIN_HOST}:${server.address().port}`
}

/** Starts a store without faults. */
async function serveStore () {
  let revision = 1
  const items = new Map([['op/config', { key: 'op/config', value: Buffer.from(JSON.stringify(CONFIGURATION)).toString('base64'), revision }]])
  return await serve(async (url, body) => {
    const name = url.pathname.split('/')[2]
    switch (name) {
      case 'kv-key': return { status: items.has(url.searchParams.get('key')) ? 200 : 404, body: items.get(url.searchParams.get('key')) }
      case 'kv-range': return { body: { items: [...items.values()].filter(({ key }) => key.startsWith(url.searchParams.get('path_prefix'))), has_more: false, at_revision: revision } }
      case 'kv-watch':
        await sleep(Number(url.searchParams.get('wait_ms')))
        return { body: { events: [], at_revision: revision } }
      case 'kv-txn':
        revision++
        for (const { key, value } of body.writes) items.set(key, { key, value, revision })
        return { body: { revision } }
      default: return { body: { lease: 1, ttl_ms: 6_000 } }
    }
  })
}

/** Starts a worker whose runs take `WORK_MS`. */
async function serveWorker () {
  const bornAtMs = Date.now()
  const running = new Map()
  const ended = []
  let wakeUp = () => {}
  const address = await serve(async (url, body) => {
    switch (url.pathname) {
      case '/egretvalve/run-start':
        running.set(body.task, body.run)
        setTimeout(() => {
          running.delete(body.task)
          ended.push([ended.length + 1, body.task, body.run, 'done', ''])
          wakeUp()
        }, WORK_MS)
        return { body: { clock_ms: clockMs() } }
      case '/egretvalve/hold':
        if (ended.length <= body.acked_through && body.wait_ms > 0) {
          await Promise.race([sleep(body.wait_ms), new Promise(resolve => { wakeUp = resolve })])
        }
        return { body: { born: bornAtMs, clock_ms: clockMs(), running: [...running].map(([task, run]) => [task, run, '', 50, 0]), completed: ended.slice(body.acked_through) } }
      default: return { body: { clock_ms: clockMs() } }
    }
  })
  return { address, bornAtMs }
}

/** Sends a request and resolves with its status, or 0 if it fails. */
async function call (address, target, method, headers, body) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const request = http.request({ host, port, path: target, method, headers }, response => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode) })
    })
    request.on('error', () => { resolve(0) })
    request.end(body)
  })
}

async function startProgram (program, role, values, folder) {
  const file = path.join(folder, `${role}.json`)
  writeFileSync(file, JSON.stringify({ node_name: role, zone: 'zone', region: 'region', bounds: { grace_period_s: 6 }, seed_nodes: [], ...values }))
  const sink = { write: () => true, on: () => {}, once: () => {}, writableNeedDrain: false, writableLength: 0 }
  const timers = new program.TimerService()
  const log = program.createLog(role, role, 'info', { stream: sink, maxLinesPerS: 400 })
  const started = program.createProgram(role, program.readSettings(file).unwrap(), { timers, log })
  await started.start()
}

/** Serves jobs. Resolves with the number of those that succeeded. */
async function serveJobs (program, folder) {
  const store = await serveStore()
  const worker = await serveWorker()
  const frontend = `${ENTRY_HOST}:${FIRST_PORT + 1}`
  const ready = `${ENTRY_HOST}:${FIRST_PORT + 2}`
  const control = `${AGENT_HOST}:${FIRST_PORT + 3}`
  const settings = { platform: { address: store }, internal_port_range: [FIRST_PORT, FIRST_PORT] }
  await startProgram(program, program.Role.Entry, { ...settings, ip: ENTRY_HOST, bind_addresses: { frontend, ready } }, folder)
  await startProgram(program, program.Role.Agent, { ...settings, ip: AGENT_HOST, app: worker.address, service: 'warm-up', bind_addresses: { control_plane: control } }, folder)
  let sequence = 0
  const report = async () => await call(control, '/egretvalve/Instances.Heartbeat/w', 'POST', {}, JSON.stringify({ service: 'warm-up', address: worker.address, zone: 'zone', version: '1', slots: 8, state: 'ready', sequence: ++sequence, cold_remaining_ms: 0, born: worker.bornAtMs, capacity: { cpu: 32_000, memory_request_mb: 10_000, gpus: 0 }, labels: ['zone'], machine: 'machine', clock_ms: clockMs() }))
  const reports = setInterval(report, 200)
  while (await call(ready, '/egretvalve/ready', 'GET', {}) !== 200) await sleep(50)
  let started = 0
  let succeeded = 0
  const submit = async () => {
    while (started < JOBS) {
      const id = (++started).toString(16).padStart(16, '0')
      const body = JSON.stringify({ spec: 'x', steps: [{ count: 2, cpu: 1_000, memory_request_mb: 64, estimated_ms: WORK_MS }, { count: 1, cpu: 1_000, memory_request_mb: 64, estimated_ms: WORK_MS, after: [0] }], best_effort: true })
      if (await call(frontend, `/jobs/${id}`, 'POST', { host: 'warm-up.example', 'content-type': 'application/json', 'x-deadline-ms': '5000' }, body) === 200) succeeded++
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_JOBS }, submit))
  clearInterval(reports)
  return succeeded
}

const { loadProgram, CACHE } = createRequire(import.meta.url)('../target/egretvalve.cjs')
const { script, program } = loadProgram()
const folder = mkdtempSync(path.join(tmpdir(), 'egretvalve-'))
const succeeded = await Promise.race([serveJobs(program, folder).catch(thrown => { process.stderr.write(`warm-up: ${thrown.stack}\n`) }), sleep(LIMIT_MS)])
writeFileSync(CACHE, script.createCachedData())
rmSync(folder, { recursive: true })
process.stdout.write(`code cache written after ${succeeded ?? 'an unknown number of'} jobs\n`)
process.exit(0)
