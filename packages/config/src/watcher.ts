/** Copies the store's configuration into a node's registry: reads the missing records once, then long-polls a watch. */
import type * as settings from '@egretvalve/settings'
import * as protocol from '@egretvalve/protocol'
import type * as platform from '@egretvalve/platform'
import { events } from './events.ts'
import { currentDocument, parseTeamRecord, TEAM_KEY_PREFIX, type TeamRecord } from './record.ts'
import { ConfigSource, type ConfigRegistry } from './registry.ts'
import type { ConfigRepository } from './repository.ts'

/** Time for which one watch call waits for changes, in milliseconds. */
const WATCH_WAIT_MS = 30_000
/** First and longest wait after a failed call, in milliseconds; the wait doubles with each failure. */
const FIRST_RETRY_MS = 100
const LONGEST_RETRY_MS = 2_000

/** Dependencies of the watcher. */
export interface WatcherServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
}

/** Keeps a registry up to date with the store until it is stopped. */
export class ConfigWatcher {
  private readonly stopping = new AbortController()
  private loop: Promise<void> | undefined
  private synced = false

  constructor (
    private readonly services: WatcherServices,
    private readonly repository: ConfigRepository,
    private readonly registry: ConfigRegistry
  ) {}

  /** True once the store has been read completely. */
  get isSynced (): boolean {
    return this.synced
  }

  start (): void {
    this.loop = this.run()
  }

  async stop (): Promise<void> {
    this.stopping.abort()
    await this.loop
  }

  private async run (): Promise<void> {
    let retryMs = FIRST_RETRY_MS
    let revision: number | undefined
    while (!this.stopping.signal.aborted) {
      const next = revision === undefined ? await this.sync() : await this.watch(revision)
      if (next !== undefined) {
        revision = next
        retryMs = FIRST_RETRY_MS
        continue
      }
      await this.services.timers.sleep(retryMs, this.stopping.signal)
      retryMs = Math.min(LONGEST_RETRY_MS, retryMs * 2)
    }
  }

  /**
   * Reads every record that may be newer than the version on this node. The head is read first: every version accepted
   * before that read is within its bounds, and every version accepted later has a higher revision, which the watch reports.
   * Returns the head's revision, or undefined if a call failed.
   */
  private async sync (): Promise<number | undefined> {
    const stored = await this.repository.readHead()
    if (stored.err) return this.reportFailure(stored.val.describe())
    for (const [team, bound] of Object.entries(stored.val.head.versions)) {
      if (this.registry.versionOf(team) >= bound) continue
      const record = await this.repository.read(team)
      if (record.ok) this.offer(record.val.record)
      else if (record.val.code === protocol.ErrorCode.InvalidInput) this.reportInvalid(team, record.val)
      else return this.reportFailure(record.val.describe())
    }
    this.synced = true
    this.services.log.event(events.storeSynced, { teams: Object.keys(stored.val.head.versions).length })
    return stored.val.revision
  }

  /** Waits for changes after a revision and applies them. Returns the revision to continue from, or undefined if the call failed. */
  private async watch (afterRevision: number): Promise<number | undefined> {
    const change = await this.services.store.watch(TEAM_KEY_PREFIX, afterRevision, WATCH_WAIT_MS, this.stopping.signal)
    if (this.stopping.signal.aborted) return afterRevision
    if (change.err) return this.reportFailure(change.val.error.describe())
    for (const value of change.val.values) this.offerValue(value)
    return Math.max(afterRevision, change.val.revision)
  }

  private offerValue (value: platform.StoredValue): void {
    const team = value.key.slice(TEAM_KEY_PREFIX.length)
    const record = parseTeamRecord(team, value.value)
    if (record.ok) this.offer(record.val)
    else this.reportInvalid(team, record.val)
  }

  /** Logs a record that does not parse; the version in force stays. */
  private reportInvalid (team: string, error: protocol.StepError): void {
    this.services.log.event(events.documentInvalid, { team, reason: error.describe() })
  }

  private offer (record: TeamRecord): void {
    const document = currentDocument(record)
    if (document === undefined) return
    this.registry.offer({ team: record.team, version: record.version, document }, ConfigSource.Store)
  }

  private reportFailure (reason: string): undefined {
    if (!this.stopping.signal.aborted) this.services.log.event(events.watchFailed, { reason })
    return undefined
  }
}
