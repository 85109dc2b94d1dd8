/** Acquisition of partitions: fences the agents, gathers their start records and retries unresponsive agents. */
import type * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { OwnershipSettings } from './defaults.ts'
import { ownershipEvents } from './events.ts'
import { resolveFreshDateMs } from './freshness.ts'
import { PartitionPhase } from './partitionState.ts'
import type { OwnedPartition } from './partitionState.ts'
import type { FenceTransport, GatheredRecord, OwnershipListener } from './transports.ts'

/** Dependencies of an acquisition. */
export interface AcquisitionServices {
  fences: FenceTransport
  listener: OwnershipListener
  timers: settings.Timers
  log: settings.Log
  signal: AbortSignal
}

/** Partitions that are acquired together. */
export interface AcquisitionTarget {
  partitions: ReadonlyMap<number, OwnedPartition>
  /** Returns true while this entry still owns a partition at the epoch of the acquisition. */
  isCurrent: (partition: number) => boolean
}

/**
 * Number of clock bounds from the end of the previous owner's authority to the last moment at which an agent may accept
 * one of its starts: agents compare the expiry with their own wall clocks.
 */
const EXPIRY_WAIT_CLOCK_BOUNDS = 2

/**
 * Fences every known agent, gathers the records and puts the partitions into service. Agents that did not answer may
 * accept starts of the previous owner until these expire, so the partitions are ready only after that time. Earlier starts at
 * these agents count as unknown until a retry succeeds or the retention window has passed.
 */
export async function acquirePartitions (target: AcquisitionTarget, options: OwnershipSettings, services: AcquisitionServices): Promise<void> {
  const agentIds = [...services.fences.knownAgents()]
  const expiryWait = services.timers.sleep(EXPIRY_WAIT_CLOCK_BOUNDS * options.clockBoundMs, services.signal)
  const outcomes = await Promise.all(agentIds.map(async agentId => await gatherOne(agentId, target, options, services)))
  const unresponsive = agentIds.filter((_agentId, index) => outcomes[index] === undefined)
  if (unresponsive.length > 0) await expiryWait
  const freshDateMs = resolveFreshDateMs(services.timers.wallClockMs(), options.clockBoundMs)
  for (const agentId of unresponsive) recordGap(target, agentId, freshDateMs)
  const records = outcomes.filter(record => record !== undefined)
  for (const record of records) recordGap(target, record.agentId, resolveGapMs(record, options))
  putIntoService(target, records, true, services)
  for (const partition of target.partitions.values()) partition.phase = partition.phase === PartitionPhase.Acquiring ? PartitionPhase.Ready : partition.phase
  services.log.event(ownershipEvents.acquired, { partitions: target.partitions.size, agents: agentIds.length, silentAgents: unresponsive.length })
  await Promise.all(unresponsive.map(async agentId => { await retryGather(agentId, target, options, services) }))
}

async function gatherOne (agentId: string, target: AcquisitionTarget, options: OwnershipSettings, services: AcquisitionServices): Promise<GatheredRecord | undefined> {
  const partitions: protocol.wire.IPartitionEpoch[] = [...target.partitions].map(([partition, owned]) => ({ partition, epoch: owned.epoch }))
  const gathered = await services.fences.gather(agentId, partitions, options.gatherTimeoutMs)
  if (gathered.ok) return gathered.val
  services.log.event(ownershipEvents.gatherIncomplete, { agentId, error: gathered.val.describe() })
  return undefined
}

/** Retries an unresponsive agent until it answers, the retention window has passed or none of the partitions is owned any more. */
async function retryGather (agentId: string, target: AcquisitionTarget, options: OwnershipSettings, services: AcquisitionServices): Promise<void> {
  const endsAtMs = services.timers.nowMs() + options.retentionMs + EXPIRY_WAIT_CLOCK_BOUNDS * options.clockBoundMs
  while (services.timers.nowMs() < endsAtMs) {
    await services.timers.sleep(options.gatherRetryMs, services.signal)
    if (services.signal.aborted || ![...target.partitions.keys()].some(target.isCurrent)) return
    const record = await gatherOne(agentId, target, options, services)
    if (record === undefined) continue
    putIntoService(target, [record], false, services)
    recordGap(target, agentId, resolveGapMs(record, options))
    return
  }
  recordGap(target, agentId, 0)
}

function putIntoService (target: AcquisitionTarget, records: readonly GatheredRecord[], isFirst: boolean, services: AcquisitionServices): void {
  const partitions = [...target.partitions.keys()].filter(target.isCurrent)
  if (partitions.length > 0) services.listener.acquired({ partitions, records, isFirst })
}

function resolveGapMs (record: GatheredRecord, options: OwnershipSettings): number {
  return record.completeSinceMs === 0 ? 0 : resolveFreshDateMs(record.completeSinceMs, options.clockBoundMs)
}

function recordGap (target: AcquisitionTarget, agentId: string, unknownBeforeMs: number): void {
  for (const partition of target.partitions.values()) {
    if (unknownBeforeMs === 0) partition.unknownBeforeMsByAgent.delete(agentId)
    else partition.unknownBeforeMsByAgent.set(agentId, unknownBeforeMs)
  }
}
