/** Measures store calls of configuration changes, and the time until a change is in force on all entries. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import * as undici from 'undici'
import { LocalFleet } from '../localFleet.ts'
import { Distribution } from '../percentiles.ts'
import type { SlopeOptions } from './entrySlopes.ts'
import type { MeasuredPoint } from './fit.ts'
import { SeriesName, createSeries } from './series.ts'
import type { ChangeSpeed, Series } from './series.ts'

const FLEET_ENTRIES = 6
const CHANGES_PER_SECOND = [0.2, 0.5, 1, 2]
const SETTLE_MS = 8_000
const WINDOW_MS = 10_000
const POLL_MS = 5
const IN_FORCE_LIMIT_MS = 10_000
const MS_PER_SECOND = 1_000

/** Result of the experiment with configuration changes. */
export interface ChangeResult {
  series: Series[]
  speed: ChangeSpeed
}

/** Changes the document of one team, through each entry in turn. */
class ChangeRun {
  readonly inForceMs = new Distribution()
  private version = 0
  private readonly document = config.createExampleDocument(config.ExampleName.Rozet)

  constructor (private readonly fleet: LocalFleet, private readonly timers: settings.Timers) {}

  /** Makes one change and waits until it is in force on all entries, up to a limit. */
  async change (): Promise<void> {
    const startedAtMs = this.timers.nowMs()
    const entry = this.fleet.entries[this.version % this.fleet.entries.length]!
    const document = { ...this.document, displayName: `Version ${this.version + 1}` }
    const response = await undici.request(`http://${entry.httpAddress}/admin/v1/config/${document.team}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ seenVersion: this.version, document })
    })
    const text = await response.body.text()
    if (response.statusCode >= 300) throw new protocol.StepError(protocol.ErrorCode.Conflict, 'slopes.change', entry.httpAddress, text)
    this.version++
    await this.waitUntilInForce(startedAtMs)
    this.inForceMs.record(this.timers.nowMs() - startedAtMs)
  }

  private async waitUntilInForce (startedAtMs: number): Promise<void> {
    const isInForce = (): boolean => this.fleet.entries.every(entry => this.versionOn(entry.config) >= this.version)
    while (!isInForce() && this.timers.nowMs() - startedAtMs < IN_FORCE_LIMIT_MS) await this.timers.sleep(POLL_MS)
  }

  private versionOn (entryConfig: config.EntryConfig): number {
    return entryConfig.registry.list().find(known => known.team === this.document.team)?.version ?? 0
  }
}

/** Measures store calls against the rate of configuration changes. */
export async function measureChanges (options: SlopeOptions): Promise<ChangeResult> {
  const { timers } = options
  const fleet = new LocalFleet({ entries: FLEET_ENTRIES, agents: 0, timers, entrySettings: { openAdmin: true } })
  await fleet.start()
  await timers.sleep(SETTLE_MS)
  const run = new ChangeRun(fleet, timers)
  const reads: MeasuredPoint[] = []
  const writes: MeasuredPoint[] = []
  for (const rate of CHANGES_PER_SECOND) {
    const before = { ...fleet.store.counts }
    const startedAtMs = timers.nowMs()
    const count = Math.round(rate * WINDOW_MS / MS_PER_SECOND)
    for (let change = 0; change < count; change++) {
      await run.change()
      await timers.sleep(Math.max(0, startedAtMs + (change + 1) * MS_PER_SECOND / rate - timers.nowMs()))
    }
    const seconds = (timers.nowMs() - startedAtMs) / MS_PER_SECOND
    reads.push({ x: count / seconds, y: (fleet.store.counts.reads - before.reads) / seconds })
    writes.push({ x: count / seconds, y: (fleet.store.counts.writes - before.writes) / seconds })
  }
  await fleet.stop()
  return {
    series: [
      createSeries(SeriesName.ChangeReads, `Changes of configuration: store reads, ${FLEET_ENTRIES} entries`, 'changes/s', 'reads/s', reads),
      createSeries(SeriesName.ChangeWrites, `Changes of configuration: store writes, ${FLEET_ENTRIES} entries`, 'changes/s', 'writes/s', writes)
    ],
    speed: { entries: FLEET_ENTRIES, changes: run.inForceMs.count, inForceP50Ms: run.inForceMs.at(50)!, inForceP99Ms: run.inForceMs.at(99)! }
  }
}
