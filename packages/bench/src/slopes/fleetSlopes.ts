/** Measures traffic between entries and calls to the store against the number of entries. */
import { LocalFleet } from '../localFleet.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import type { MeasuredPoint } from './fit.ts'
import { SeriesName, createSeries } from './series.ts'
import type { Series } from './series.ts'
import { SocketByteCounter, SocketSide } from './socketBytes.ts'

const ENTRY_COUNTS = [1, 2, 3, 6, 12]
const SETTLE_MS = 8_000
const MS_PER_SECOND = 1_000
/** Only client sockets are counted, and each byte loads the entry at either end. */
const ENDS_PER_BYTE = 2

interface RestCosts {
  x: number
  peerBytesPerSecond: number
  readsPerSecond: number
  writesPerSecond: number
}

async function measureRest (entries: number, options: SlopeOptions): Promise<RestCosts> {
  const counter = new SocketByteCounter(SocketSide.Client)
  counter.start()
  const fleet = new LocalFleet({ entries, agents: 0, timers: options.timers })
  await fleet.start()
  await options.timers.sleep(SETTLE_MS)
  const addresses = fleet.entries.map(entry => entry.linkAddress)
  const before = { ...fleet.store.counts, bytes: sumBytes(counter, addresses) }
  const startedAtMs = options.timers.nowMs()
  await options.timers.sleep(options.restWindowMs)
  const seconds = (options.timers.nowMs() - startedAtMs) / MS_PER_SECOND
  const after = { ...fleet.store.counts, bytes: sumBytes(counter, addresses) }
  await fleet.stop()
  counter.stop()
  return {
    x: entries,
    peerBytesPerSecond: ENDS_PER_BYTE * (after.bytes - before.bytes) / seconds / entries,
    readsPerSecond: (after.reads - before.reads) / seconds,
    writesPerSecond: (after.writes - before.writes) / seconds
  }
}

function sumBytes (counter: SocketByteCounter, addresses: readonly string[]): number {
  return addresses.reduce((sum, address) => {
    const bytes = counter.read(address)
    return sum + bytes.written + bytes.read
  }, 0)
}

/** Measures idle fleets of different sizes, all running concurrently. */
export async function measureEntrySlopes (options: SlopeOptions): Promise<Series[]> {
  const costs = await Promise.all(ENTRY_COUNTS.map(entries => measureRest(entries, options)))
  const pick = (read: (cost: RestCosts) => number): MeasuredPoint[] => costs.map(cost => ({ x: cost.x, y: read(cost) }))
  return [
    createSeries(SeriesName.EntryPeerBytes, 'Entries at rest: bytes of one entry on links to the others', 'entries', 'B/s', pick(cost => cost.peerBytesPerSecond)),
    createSeries(SeriesName.StoreReads, 'Store at rest: reads against entries', 'entries', 'reads/s', pick(cost => cost.readsPerSecond)),
    createSeries(SeriesName.StoreWrites, 'Store at rest: writes against entries', 'entries', 'writes/s', pick(cost => cost.writesPerSecond))
  ]
}
