/** Brings the store's configuration into a node's registry: one read of what is missing, then one waiting watch. */
import type * as settings from '@egretvalve/settings'
import * as protocol from '@egretvalve/protocol'
import type * as platform from '@egretvalve/platform'
import { events } from './events.ts'
import { currentDocument, parseTeamRecord, TEAM_KEY_PREFIX, type TeamRecord } from './record.ts'
import { ConfigSource, type ConfigRegistry } from './registry.ts'
import type { ConfigRepository } from './repository.ts'

/** How long one watch call waits, in milliseconds. */
const WATCH_WAIT_MS = 30_000
/** First and longest wait after a failed call, in milliseconds. */
const FIRST_RETRY_MS = 100
const LONGEST_RETRY_MS = 2_000

/** What the watcher needs. */
export interface WatcherServices {
  store: platform.Store
  timers: settings.Timers
  log: settings.Log
}

/** Runs one watch on the configuration. */
export class ConfigWatcher {
  private readonly stopping = new AbortController()
  private task: Promise<void> | undefined
  private synced = false

  constructor (
    private readonly services: WatcherServices,
    private readonly repository: ConfigRepository,
    private readonly registry: ConfigRegistry
  ) {}

  /** True once the store was read completely. */
  get isSynced (): boolean {
    return this.synced
  }

  start (): void {
    this.task = this.run()
  }

  async stop (): Promise<void> {
    this.stopping.abort()
    await this.task
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
   * Reads every record that may be newer than what this node has. The head is read first: every version accepted before
   * is within its bounds, and every version accepted later has a higher revision, which the watch reports.
   */
  private async sync (): Promise<number | undefined> {
    const stored = await this.repository.readHead()
    if (stored.err) return this.fail(stored.val.describe())
    for (const [team, bound] of Object.entries(stored.val.head.versions)) {
      if (this.registry.versionOf(team) >= bound) continue
      const record = await this.repository.read(team)
      if (record.ok) this.offer(record.val.record)
      else if (record.val.code === protocol.ErrorCode.InvalidInput) this.reportUnreadable(team, record.val)
      else return this.fail(record.val.describe())
    }
    this.synced = true
    this.services.log.event(events.storeSynced, { teams: Object.keys(stored.val.head.versions).length })
    return stored.val.revision
  }

  private async watch (afterRevision: number): Promise<number | undefined> {
    const change = await this.services.store.watch(TEAM_KEY_PREFIX, afterRevision, WATCH_WAIT_MS, this.stopping.signal)
    if (this.stopping.signal.aborted) return afterRevision
    if (change.err) return this.fail(change.val.error.describe())
    for (const value of change.val.values) this.offerValue(value)
    return Math.max(afterRevision, change.val.revision)
  }

  private offerValue (value: platform.StoredValue): void {
    const team = value.key.slice(TEAM_KEY_PREFIX.length)
    const record = parseTeamRecord(team, value.value)
    if (record.ok) this.offer(record.val)
    else this.reportUnreadable(team, record.val)
  }

  /** A record that this program can't read leaves the version in force as it is. */
  private reportUnreadable (team: string, error: protocol.StepError): void {
    this.services.log.event(events.documentUnreadable, { team, reason: error.describe() })
  }

  private offer (record: TeamRecord): void {
    const document = currentDocument(record)
    if (document === undefined) return
    this.registry.offer({ team: record.team, version: record.version, document }, ConfigSource.Store)
  }

  private fail (reason: string): undefined {
    if (!this.stopping.signal.aborted) this.services.log.event(events.watchFailed, { reason })
    return undefined
  }
}
