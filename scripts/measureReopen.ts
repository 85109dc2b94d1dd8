/**
 * Measures what it costs an entry when the links of all of its agents reopen at once while they hold the tasks of one job: processor time and
 * messages to the agents. Usage: `npx tsx scripts/measureReopen.ts --agents 64 --tasks 680 --rounds 50`.
 */
import { parseArgs } from 'node:util'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as scheduler from '@egretvalve/scheduler'
import * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { AgentConnection } from '../packages/fleet/src/agentConnection.ts'
import { decodeHeld, encodeLoad } from '../packages/fleet/src/messages.ts'

const { values } = parseArgs({ options: { agents: { type: 'string', default: '64' }, tasks: { type: 'string', default: '680' }, rounds: { type: 'string', default: '50' } } })
const agents = Number(values.agents)
const tasks = Number(values.tasks)
const rounds = Number(values.rounds)
const SIZE: workers.RunSize = { cpuMilli: 11_000, memoryMb: 1, accelerators: 0 }
const TERMS: scheduler.JobTerms = { queue: 'queue', service: 'spares', priority: 0, maxAttempts: 2, targetLatencyMs: 60, slackFactor: 1.6 }
const LOAD: scheduler.ReportedLoad = { isPresent: true, isDraining: false, service: 'spares', total: { cpuMilli: 128_000, memoryMb: 100_000, accelerators: 0 }, free: { cpuMilli: 128_000, memoryMb: 100_000, accelerators: 0 }, labels: [], waiting: 0, hasSuspect: false, runTimeRatio: 0, received: 0 }
const timers = new settings.FakeTimers()
let sentBytes = 0
let stopMessages = 0

/** A link that encodes and counts what the entry sends. */
function connect (agentId: string, onTasks: (held: protocol.runs.IHeldRun) => void): AgentConnection {
  const write = (message: protocol.runs.IFromEntry): boolean => {
    sentBytes += protocol.runs.FromEntry.encode(message).finish().length
    if (message.stop != null) stopMessages++
    for (const order of message.orders?.orders ?? []) for (const task of order.tasks ?? []) onTasks({ jobId: order.jobId, step: order.step, index: task.index, attempt: task.attempt })
    return true
  }
  const stream = { write, once: () => {}, on: () => {}, end: () => {}, destroy: () => {} } as unknown as runtime.LinkStream<unknown, protocol.runs.IFromEntry>
  return new AgentConnection({ agentId, life: 'life', failureDomain: 'a', load: encodeLoad(LOAD, 0) }, new runtime.Outbox(stream), timers, () => ({}), () => {})
}

async function flush (): Promise<void> {
  for (let turn = 0; turn < 3; turn++) await new Promise<void>(resolve => { setImmediate(resolve) })
}

/** Returns the processor time of one reopening of all links, in milliseconds. */
async function measure (hasEnded: boolean, number: number): Promise<number> {
  const entry = new scheduler.Scheduler({ timers, log: settings.createSilentLog(), random: Math.random, failureDomain: 'a' })
  const held = new Map<string, protocol.runs.IHeldRun[]>()
  const open = (): AgentConnection[] => Array.from({ length: agents }, (_, index) => {
    const agentId = `agent-${index}`
    const connection = connect(agentId, run => { held.set(agentId, [...held.get(agentId) ?? [], run]) })
    entry.connect(connection, LOAD)
    return connection
  })
  const first = open()
  const job = entry.submit({ jobId: `job-${number}`, spec: 'x', steps: [{ count: tasks, size: SIZE, estimatedMs: 1_000, after: [] }] }, TERMS, 60_000)
  await flush()
  for (const connection of first) entry.disconnect(connection, 'measurement')
  if (hasEnded) entry.abandon(job)
  sentBytes = 0
  stopMessages = 0
  const beganAt = process.cpuUsage()
  for (const connection of open()) entry.reconcile(connection, (held.get(connection.agentId) ?? []).map(decodeHeld))
  await flush()
  const used = process.cpuUsage(beganAt)
  entry.stop()
  return (used.user + used.system) / 1_000
}

async function main (): Promise<void> {
  for (const hasEnded of [false, true]) {
    const costsMs: number[] = []
    for (let number = 0; number < rounds; number++) costsMs.push(await measure(hasEnded, number))
    costsMs.sort((left, right) => left - right)
    console.log(`${agents} agents, ${tasks} tasks, ${hasEnded ? 'job ended meanwhile' : 'nothing differs'}: median ${costsMs[Math.floor(rounds / 2)]!.toFixed(2)} ms, 90% ${costsMs[Math.floor(rounds * 0.9)]!.toFixed(2)} ms, ${stopMessages} stop messages, ${sentBytes} bytes sent`)
  }
}

main()
