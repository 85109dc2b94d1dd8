/** Holds the announcement of the backend server beside this agent under its lease. */
import type * as settings from '@egretvalve/settings'
import { events } from '../events.ts'
import type { Announcement } from './schema.ts'

/** State of the backend server beside this agent. */
export enum BackendState {
  Absent = 'absent',
  Present = 'present',
  Leaving = 'leaving'
}

/** Keeps the newest announcement and lets it lapse when it isn't renewed. */
export class Announcer {
  private announcement: Announcement | undefined
  private state = BackendState.Absent
  private expiry: settings.TimerHandle | undefined
  private isHeld = false

  constructor (
    private readonly timers: settings.Timers,
    private readonly log: settings.Log,
    private readonly onChange: () => void
  ) {}

  /** The newest announcement, also while the backend server is leaving. */
  get current (): Announcement | undefined {
    return this.announcement
  }

  /** True while new tasks may start. */
  get acceptsTasks (): boolean {
    return this.state === BackendState.Present && !this.isHeld
  }

  /** Holds new tasks back, or lets them come again. Renewals of the announcement don't change it. */
  hold (isHeld: boolean): void {
    if (this.isHeld === isHeld) return
    this.isHeld = isHeld
    this.log.event(isHeld ? events.DrainRequested : events.DrainEnded, { service: this.announcement?.service })
    this.onChange()
  }

  /** Takes or renews an announcement. */
  renew (announcement: Announcement): void {
    const isNews = this.state !== BackendState.Present || JSON.stringify(this.announcement) !== JSON.stringify(announcement)
    this.announcement = announcement
    this.state = BackendState.Present
    this.expiry?.cancel()
    this.expiry = this.timers.after(announcement.leaseMs, () => { this.expire() })
    if (!isNews) return
    this.log.event(events.BackendAnnounced, { service: announcement.service, address: announcement.address, slots: announcement.slots })
    this.onChange()
  }

  /** Marks the backend server as leaving: it finishes what runs and gets nothing new. */
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
