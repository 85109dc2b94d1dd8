/** State of the backend server announced to this agent, valid for the duration of its lease. */
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import type { Announcement } from './schema.ts'

export enum BackendState {
  Absent = 'absent',
  Present = 'present',
  Leaving = 'leaving'
}

/** Stores the latest announcement and stops accepting tasks when its lease expires without renewal. */
export class Announcer {
  private announcement: Announcement | undefined
  private state = BackendState.Absent
  private expiry: settings.TimerHandle | undefined
  private isDraining = false

  constructor (
    private readonly timers: settings.Timers,
    private readonly log: settings.Log,
    private readonly onChange: () => void
  ) {}

  /** The latest announcement, retained while the backend server is leaving and after its lease has expired. */
  get current (): Announcement | undefined {
    return this.announcement
  }

  /** True while new tasks may start. */
  get acceptsTasks (): boolean {
    return this.state === BackendState.Present && !this.isDraining
  }

  /** Starts or ends an operator's drain, during which no new tasks are accepted. Renewals of the announcement don't end it. */
  setDraining (isDraining: boolean): void {
    if (this.isDraining === isDraining) return
    this.isDraining = isDraining
    this.log.event(isDraining ? events.DrainRequested : events.DrainEnded, { service: this.announcement?.service })
    this.onChange()
  }

  /** Stores an announcement and restarts its lease. */
  renew (announcement: Announcement): void {
    const hasChanged = this.state !== BackendState.Present || JSON.stringify(this.announcement) !== JSON.stringify(announcement)
    this.announcement = announcement
    this.state = BackendState.Present
    this.expiry?.cancel()
    this.expiry = this.timers.after(announcement.leaseMs, () => { this.expire() })
    if (!hasChanged) return
    this.log.event(events.BackendAnnounced, { service: announcement.service, address: announcement.address, slots: announcement.slots })
    this.onChange()
  }

  /** Marks the backend server as leaving: running tasks finish and no new ones are accepted. */
  leave (): void {
    if (this.announcement === undefined) return
    this.expiry?.cancel()
    this.state = BackendState.Leaving
    this.log.event(events.BackendLeaving, { service: this.announcement.service })
    this.onChange()
  }

  stop (): void {
    this.expiry?.cancel()
  }

  private expire (): void {
    this.state = BackendState.Absent
    this.log.event(events.BackendLeaseExpired, { service: this.announcement?.service })
    this.onChange()
  }
}
