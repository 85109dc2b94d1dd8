// Measures how configuration spreads in a fleet of entries and agents in this process, over gRPC on loopback.
// Usage: npx tsx scripts/measureConfiguration.ts <entries> <agents> <changes> <rest seconds>
import * as agent from '@egretvalve/agent'
import * as config from '@egretvalve/config'
import * as entry from '@egretvalve/entry'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as standin from '@egretvalve/standin'
import * as hdr from 'hdr-histogram-js'

const ANY_PORT = '127.0.0.1:0'
const TEAMS = 130
const ENTRIES_PER_AGENT = 3
const STORE_ANSWER_MS = 3
const CHANGE_PERIOD_MS = 100
const IN_FORCE_LIMIT_MS = 30_000
const POLL_MS = 1
const BYTES_PER_KB = 1_000
const DOMAINS = ['attica-a', 'attica-b', 'attica-c', 'marmara-a', 'marmara-b', 'marmara-c']

const timers = new settings.TimerService()
const services = { timers, log: settings.createSilentLog(), metrics: settings.createSilentMetrics() }
const base = config.createExampleDocument(config.ExampleName.Xylotechne)

interface Codec { encode: (message: never, writer?: never) => { finish: () => Uint8Array } }

/** Counts the bytes of every message that the process sends on its links. */
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
  return `team-${index % TEAMS}`
}

class MeasuredFleet {
  readonly store = new standin.MemoryStore(timers)
  readonly entries: entry.Entry[] = []
  readonly agents: agent.Agent[] = []
  private changes = 0

  async start (entryCount: number, agentCount: number): Promise<void> {
    this.store.faults = { ...this.store.faults, slowMs: STORE_ANSWER_MS }
    for (let index = 0; index < entryCount; index++) {
      const values = entry.resolveEntryDefaults({
        nodeId: `entry-${index}`, failureDomain: DOMAINS[index % DOMAINS.length], httpListen: ANY_PORT, linkListen: ANY_PORT, plainText: true, openAdmin: true
      })
      const created = entry.createEntry(values, { ...services, store: this.store })
      await created.start()
      this.entries.push(created)
    }
    for (let index = 0; index < TEAMS; index++) await this.apply(teamName(index), 1)
    for (let index = 0; index < agentCount; index++) await this.startAgent(index)
    await this.waitUntil(() => this.registries.every(registry => registry.list().length === TEAMS))
  }

  get registries (): config.ConfigRegistry[] {
    return [...this.entries.map(running => running.config.registry), ...this.agents.map(running => running.config.registry)]
  }

  get nodeCount (): number {
    return this.entries.length + this.agents.length
  }

  /** Applies a change through the entries in turn and returns the version. */
  async apply (team: string, weight: number): Promise<number> {
    const through = this.entries[this.changes++ % this.entries.length]!
    const order = { team, changeId: `change-${this.changes}`, seenVersion: through.config.registry.versionOf(team), operator: 'measure' }
    const outcome = await through.config.apply(order, createDocument(team, weight))
    if (outcome.kind !== config.ChangeOutcomeKind.Accepted) throw new Error(`change ${this.changes} of ${team}: ${outcome.kind}`)
    return outcome.config.version
  }

  async waitUntil (holds: () => boolean): Promise<void> {
    const limitMs = timers.nowMs() + IN_FORCE_LIMIT_MS
    while (!holds()) {
      if (timers.nowMs() > limitMs) throw new Error('not in force everywhere in time')
      await timers.sleep(POLL_MS)
    }
  }

  async stop (): Promise<void> {
    for (const running of this.entries) await running.stop()
    for (const running of this.agents) await running.stop()
    this.store.close()
  }

  private async startAgent (index: number): Promise<void> {
    const entries = Array.from({ length: Math.min(ENTRIES_PER_AGENT, this.entries.length) }, (_, offset) => this.entries[(index + offset) % this.entries.length]!.linkAddress)
    const values = agent.resolveAgentDefaults({ nodeId: `agent-${index}`, failureDomain: DOMAINS[index % DOMAINS.length], announceListen: ANY_PORT, entries, plainText: true })
    const created = agent.createAgent(values, services)
    await created.start()
    this.agents.push(created)
  }
}

interface Span {
  bytes: number
  reads: number
  writes: number
  cpuMs: number
  wallMs: number
}

async function measureSpan (fleet: MeasuredFleet, sent: { bytes: number }, work: () => Promise<void>): Promise<Span> {
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

/** Applies changes one after the other and records how long each took until the last node had it. */
async function runChanges (fleet: MeasuredFleet, count: number, inForce: hdr.Histogram, afterAccept: hdr.Histogram): Promise<void> {
  const { registries } = fleet
  for (let index = 0; index < count; index++) {
    const team = teamName(index)
    let missing = registries.length
    let lastAtMs = 0
    const unsubscribe = registries.map(registry => registry.subscribe(accepted => {
      if (accepted.team !== team) return
      missing--
      lastAtMs = timers.nowMs()
    }))
    const startedAtMs = timers.nowMs()
    await fleet.apply(team, 2 + index % 900)
    const acceptedAtMs = timers.nowMs()
    await fleet.waitUntil(() => missing === 0)
    for (const end of unsubscribe) end()
    inForce.recordValue(Math.round((lastAtMs - startedAtMs) * 1_000))
    afterAccept.recordValue(Math.max(0, Math.round((lastAtMs - acceptedAtMs) * 1_000)))
    await timers.sleep(CHANGE_PERIOD_MS)
  }
}

function formatTimes (histogram: hdr.Histogram): string {
  const [median, p99] = [50, 99].map(percentile => (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(1))
  return `median ${median} ms, p99 ${p99} ms, max ${(histogram.maxValue / 1_000).toFixed(1)} ms`
}

/** Lists the bytes that each kind of message has carried since an earlier reading, most first. */
function describeKinds (before: Map<string, protocol.LinkCount>, seconds: number): string {
  const kinds = [...protocol.linkTraffic.read()].map(([kind, count]) => ({ kind, bytes: count.bytes - (before.get(kind)?.bytes ?? 0) }))
  const carried = kinds.filter(({ bytes }) => bytes > 0).sort((left, right) => right.bytes - left.bytes)
  return carried.map(({ kind, bytes }) => `${kind} ${(bytes / seconds).toFixed(0)} bytes/s`).join(', ')
}

async function main (): Promise<void> {
  const [entryCount = 6, agentCount = 60, changes = 200, restSeconds = 30] = process.argv.slice(2).map(Number)
  const sent = countSentBytes()
  const fleet = new MeasuredFleet()
  await fleet.start(entryCount, agentCount)
  const before = protocol.linkTraffic.read()
  const rest = await measureSpan(fleet, sent, async () => { await timers.sleep(restSeconds * 1_000) })
  const kinds = describeKinds(before, restSeconds)
  const inForce = hdr.build()
  const afterAccept = hdr.build()
  const busy = await measureSpan(fleet, sent, async () => { await runChanges(fleet, changes, inForce, afterAccept) })
  const nodes = fleet.nodeCount
  const changeCpuMs = (busy.cpuMs - rest.cpuMs / rest.wallMs * busy.wallMs) / changes
  const changeBytes = (busy.bytes - rest.bytes / rest.wallMs * busy.wallMs) / changes
  console.log(`${entryCount} entries, ${agentCount} agents, ${TEAMS} teams, documents of ${JSON.stringify(createDocument('team-0', 1)).length} bytes, store answers in ${STORE_ANSWER_MS} ms`)
  console.log(`in force on all nodes, from the operator's call: ${formatTimes(inForce)} (${changes} changes)`)
  console.log(`in force on all nodes, from the acceptance: ${formatTimes(afterAccept)}`)
  console.log(`store calls for a change: ${(busy.reads / changes).toFixed(2)} reads, ${(busy.writes / changes).toFixed(2)} writes`)
  console.log(`store calls at rest: ${(rest.reads / rest.wallMs * 1_000).toFixed(3)} reads/s, ${(rest.writes / rest.wallMs * 1_000).toFixed(3)} writes/s`)
  console.log(`link bytes at rest: ${(rest.bytes / rest.wallMs / nodes * 1_000).toFixed(1)} bytes/s for a node; for a change: ${(changeBytes / BYTES_PER_KB).toFixed(1)} KB in all, ${(changeBytes / nodes).toFixed(0)} bytes for a node`)
  console.log(`kinds of messages at rest, all nodes: ${kinds}`)
  console.log(`processor at rest: ${(rest.cpuMs / rest.wallMs / nodes * 100).toFixed(3)}% of a core for a node; for a change: ${changeCpuMs.toFixed(2)} ms in all, ${(changeCpuMs / nodes * 1_000).toFixed(0)} us for a node`)
  console.log(`resident memory of the process: ${(process.memoryUsage().rss / 1_048_576).toFixed(0)} MB for ${nodes} nodes`)
  await fleet.stop()
}

main().then(() => { process.exit(0) }, thrown => {
  console.error(thrown)
  process.exit(1)
})
