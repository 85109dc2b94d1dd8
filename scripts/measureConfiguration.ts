// Measures the propagation of configuration changes in a fleet of entries and agents in this process, over gRPC on loopback.
// Usage: npx tsx scripts/measureConfiguration.ts <entries> <agents> <changes> <idle seconds>
import * as agent from '@egretvalve/agent'
import * as config from '@egretvalve/config'
import * as entry from '@egretvalve/entry'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as hdr from 'hdr-histogram-js'

const ANY_PORT = '127.0.0.1:0'
const TEAM_COUNT = 130
const ENTRIES_PER_AGENT = 3
const STORE_LATENCY_MS = 3
const CHANGE_PERIOD_MS = 100
const IN_FORCE_TIMEOUT_MS = 30_000
const POLL_MS = 1
const BYTES_PER_KB = 1_000
const FAILURE_DOMAINS = ['attica-a', 'attica-b', 'attica-c', 'marmara-a', 'marmara-b', 'marmara-c']

const timers = new settings.TimerService()
const services = { timers, log: settings.createSilentLog(), metrics: settings.createSilentMetrics() }
const base = config.createExampleDocument(config.ExampleName.Xylotechne)

interface Codec { encode: (message: never, writer?: never) => { finish: () => Uint8Array } }

/** Wraps the message encoders and returns a running count of the bytes that the process sends on its links. */
function countSentBytes (): { bytes: number } {
  const sent = { bytes: 0 }
  for (const codec of [protocol.wire.EntryToAgent, protocol.wire.AgentToEntry, protocol.wire.PeerFrame] as unknown as Codec[]) {
    const encode = codec.encode.bind(codec)
    codec.encode = (message, writer) => {
      const encoded = encode(message, writer)
      return {
        finish: () => {
          const bytes = encoded.finish()
          sent.bytes += bytes.length
          return bytes
        }
      }
    }
  }
  return sent
}

function createDocument (team: string, weight: number): config.TeamDocument {
  return { ...base, team, quota: { ...base.quota, weight } }
}

function teamName (index: number): string {
  return `team-${index % TEAM_COUNT}`
}

class MeasuredFleet {
  readonly store = new standin.MemoryStore(timers)
  readonly entries: entry.Entry[] = []
  readonly agents: agent.Agent[] = []
  private changes = 0

  async start (entryCount: number, agentCount: number): Promise<void> {
    this.store.faults = { ...this.store.faults, slowMs: STORE_LATENCY_MS }
    for (let index = 0; index < entryCount; index++) {
      const values = entry.resolveEntryDefaults({
        nodeId: `entry-${index}`, failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length], httpListen: ANY_PORT, linkListen: ANY_PORT, plainText: true, openAdmin: true
      })
      const created = entry.createEntry(values, { ...services, store: this.store })
      await created.start()
      this.entries.push(created)
    }
    for (let index = 0; index < TEAM_COUNT; index++) await this.apply(teamName(index), 1)
    for (let index = 0; index < agentCount; index++) await this.startAgent(index)
    await this.waitUntil(() => this.registries.every(registry => registry.list().length === TEAM_COUNT))
  }

  get registries (): config.ConfigRegistry[] {
    return [...this.entries.map(node => node.config.registry), ...this.agents.map(node => node.config.registry)]
  }

  get nodeCount (): number {
    return this.entries.length + this.agents.length
  }

  /** Applies a change via the next entry (round robin) and returns the accepted version. */
  async apply (team: string, weight: number): Promise<number> {
    const target = this.entries[this.changes++ % this.entries.length]!
    const parameters = { team, changeId: `change-${this.changes}`, seenVersion: target.config.registry.versionOf(team), operator: 'measure' }
    const outcome = await target.config.apply(parameters, createDocument(team, weight))
    if (outcome.kind !== config.ChangeOutcomeKind.Accepted) throw new Error(`change ${this.changes} of ${team}: ${outcome.kind}`)
    return outcome.config.version
  }

  async waitUntil (condition: () => boolean): Promise<void> {
    const timeoutAtMs = timers.nowMs() + IN_FORCE_TIMEOUT_MS
    while (!condition()) {
      if (timers.nowMs() > timeoutAtMs) throw new Error('timed out waiting for the configuration to be in force on all nodes')
      await timers.sleep(POLL_MS)
    }
  }

  async stop (): Promise<void> {
    for (const node of this.entries) await node.stop()
    for (const node of this.agents) await node.stop()
    this.store.close()
  }

  private async startAgent (index: number): Promise<void> {
    const entries = Array.from({ length: Math.min(ENTRIES_PER_AGENT, this.entries.length) }, (_, offset) => this.entries[(index + offset) % this.entries.length]!.linkAddress)
    const values = agent.resolveAgentDefaults({ nodeId: `agent-${index}`, failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length], announceListen: ANY_PORT, entries, plainText: true })
    const created = agent.createAgent(values, services)
    await created.start()
    this.agents.push(created)
  }
}

interface ResourceUsage {
  bytes: number
  reads: number
  writes: number
  cpuMs: number
  wallMs: number
}

async function measureUsage (fleet: MeasuredFleet, sent: { bytes: number }, work: () => Promise<void>): Promise<ResourceUsage> {
  const before = { bytes: sent.bytes, ...fleet.store.counts, cpu: process.cpuUsage(), atMs: timers.nowMs() }
  await work()
  const cpu = process.cpuUsage(before.cpu)
  return {
    bytes: sent.bytes - before.bytes,
    reads: fleet.store.counts.reads - before.reads,
    writes: fleet.store.counts.writes - before.writes,
    cpuMs: (cpu.user + cpu.system) / 1_000,
    wallMs: timers.nowMs() - before.atMs
  }
}

/** Applies changes one after the other and records the times in microseconds, from call and from acceptance, until each is in force on the last node. */
async function runChanges (fleet: MeasuredFleet, count: number, sinceCallUs: hdr.Histogram, sinceAcceptanceUs: hdr.Histogram): Promise<void> {
  const { registries } = fleet
  for (let index = 0; index < count; index++) {
    const team = teamName(index)
    let pendingNodes = registries.length
    let lastAtMs = 0
    const subscriptions = registries.map(registry => registry.subscribe(accepted => {
      if (accepted.team !== team) return
      pendingNodes--
      lastAtMs = timers.nowMs()
    }))
    const calledAtMs = timers.nowMs()
    await fleet.apply(team, 2 + index % 900)
    const acceptedAtMs = timers.nowMs()
    await fleet.waitUntil(() => pendingNodes === 0)
    for (const unsubscribe of subscriptions) unsubscribe()
    sinceCallUs.recordValue(Math.round((lastAtMs - calledAtMs) * 1_000))
    sinceAcceptanceUs.recordValue(Math.max(0, Math.round((lastAtMs - acceptedAtMs) * 1_000)))
    await timers.sleep(CHANGE_PERIOD_MS)
  }
}

function formatTimes (histogram: hdr.Histogram): string {
  const [median, p99] = [50, 99].map(percentile => (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(1))
  return `median ${median} ms, p99 ${p99} ms, max ${(histogram.maxValue / 1_000).toFixed(1)} ms`
}

/** Formats the bytes per second of each kind of message since an earlier reading of the counters, largest first. */
function formatTrafficByKind (before: Map<string, protocol.MessageTotals>, seconds: number): string {
  const trafficByKind = [...protocol.linkTraffic.read()].map(([kind, count]) => ({ kind, bytes: count.bytes - (before.get(kind)?.bytes ?? 0) }))
  const nonEmpty = trafficByKind.filter(({ bytes }) => bytes > 0).sort((left, right) => right.bytes - left.bytes)
  return nonEmpty.map(({ kind, bytes }) => `${kind} ${(bytes / seconds).toFixed(0)} bytes/s`).join(', ')
}

async function main (): Promise<void> {
  const [entryCount = 6, agentCount = 60, changes = 200, idleSeconds = 30] = process.argv.slice(2).map(Number)
  const sent = countSentBytes()
  const fleet = new MeasuredFleet()
  await fleet.start(entryCount, agentCount)
  const before = protocol.linkTraffic.read()
  const idle = await measureUsage(fleet, sent, async () => { await timers.sleep(idleSeconds * 1_000) })
  const trafficByKind = formatTrafficByKind(before, idleSeconds)
  const sinceCallUs = hdr.build()
  const sinceAcceptanceUs = hdr.build()
  const busy = await measureUsage(fleet, sent, async () => { await runChanges(fleet, changes, sinceCallUs, sinceAcceptanceUs) })
  const nodes = fleet.nodeCount
  const changeCpuMs = (busy.cpuMs - idle.cpuMs / idle.wallMs * busy.wallMs) / changes
  const changeBytes = (busy.bytes - idle.bytes / idle.wallMs * busy.wallMs) / changes
  console.log(`${entryCount} entries, ${agentCount} agents, ${TEAM_COUNT} teams, documents of ${JSON.stringify(createDocument('team-0', 1)).length} bytes, store answers in ${STORE_LATENCY_MS} ms`)
  console.log(`in force on all nodes, from the operator's call: ${formatTimes(sinceCallUs)} (${changes} changes)`)
  console.log(`in force on all nodes, from the acceptance: ${formatTimes(sinceAcceptanceUs)}`)
  console.log(`store calls per change: ${(busy.reads / changes).toFixed(2)} reads, ${(busy.writes / changes).toFixed(2)} writes`)
  console.log(`store calls when idle: ${(idle.reads / idle.wallMs * 1_000).toFixed(3)} reads/s, ${(idle.writes / idle.wallMs * 1_000).toFixed(3)} writes/s`)
  console.log(`link bytes when idle: ${(idle.bytes / idle.wallMs / nodes * 1_000).toFixed(1)} bytes/s per node; per change: ${(changeBytes / BYTES_PER_KB).toFixed(1)} KB in total, ${(changeBytes / nodes).toFixed(0)} bytes per node`)
  console.log(`messages by kind when idle, all nodes: ${trafficByKind}`)
  console.log(`processor time when idle: ${(idle.cpuMs / idle.wallMs / nodes * 100).toFixed(3)}% of a core per node; per change: ${changeCpuMs.toFixed(2)} ms in total, ${(changeCpuMs / nodes * 1_000).toFixed(0)} us per node`)
  console.log(`resident memory of the process: ${(process.memoryUsage().rss / 1_048_576).toFixed(0)} MB for ${nodes} nodes`)
  await fleet.stop()
}

main().then(() => { process.exit(0) }, thrown => {
  console.error(thrown)
  process.exit(1)
})
