/** Costs between entries, and calls to the store, against the number of entries. */
import * as protocol from '@egretvalve/protocol'
import { LocalFleet } from '../localFleet.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import type { MeasuredPoint } from './fit.ts'
import { SeriesName, createSeries } from './series.ts'
import type { Series } from './series.ts'

const ENTRY_COUNTS = [1, 2, 3, 6, 12]
const FLEET_AGENTS = 4
const SETTLE_MS = 8_000
const MS_PER_SECOND = 1_000
const PEER_KIND_PREFIX = 'peer.'

function countPeerBytes (): number {
  let bytes = 0
  for (const [kind, count] of protocol.linkTraffic.read()) {
    if (kind.startsWith(PEER_KIND_PREFIX)) bytes += count.bytes
  }
  return bytes
}

interface RestCosts {
  peerBytesPerSecond: number
  readsPerSecond: number
  writesPerSecond: number
}

async function measureRest (entries: number, options: SlopeOptions): Promise<RestCosts> {
  const fleet = new LocalFleet({ entries, agents: FLEET_AGENTS, timers: options.timers })
  await fleet.start()
  await options.timers.sleep(SETTLE_MS)
  const before = { ...fleet.store.counts, peerBytes: countPeerBytes() }
  const startedAtMs = options.timers.nowMs()
  await options.timers.sleep(options.restWindowMs)
  const seconds = (options.timers.nowMs() - startedAtMs) / MS_PER_SECOND
  const after = { ...fleet.store.counts, peerBytes: countPeerBytes() }
  await fleet.stop()
  return {
    peerBytesPerSecond: (after.peerBytes - before.peerBytes) / seconds,
    readsPerSecond: (after.reads - before.reads) / seconds,
    writesPerSecond: (after.writes - before.writes) / seconds
  }
}

/** Measures fleets of entries at rest. */
export async function measureEntrySlopes (options: SlopeOptions): Promise<Series[]> {
  const peerBytes: MeasuredPoint[] = []
  const reads: MeasuredPoint[] = []
  const writes: MeasuredPoint[] = []
  for (const entries of ENTRY_COUNTS) {
    const costs = await measureRest(entries, options)
    peerBytes.push({ x: entries, y: costs.peerBytesPerSecond / entries })
    reads.push({ x: entries, y: costs.readsPerSecond })
    writes.push({ x: entries, y: costs.writesPerSecond })
  }
  return [
    createSeries(SeriesName.EntryPeerBytes, 'Entries at rest: message bytes that each entry sends to the others', 'entries', 'B/s', peerBytes),
    createSeries(SeriesName.StoreReads, 'Store at rest: reads against entries', 'entries', 'reads/s', reads),
    createSeries(SeriesName.StoreWrites, 'Store at rest: writes against entries', 'entries', 'writes/s', writes)
  ]
}
