/** Owners of an agent's tasks, by entry incarnation: their leases, and recent ends that they may not have received. */
import type * as settings from '@egretvalve/settings'
import * as workers from '@egretvalve/workers'
import { END_RETENTION_MS, OWNER_LEASE_MS, OWNER_LEASE_STOP_MARGIN_MS } from './defaults.ts'
import { PeerActivity } from './liveness.ts'

interface RetainedEnd {
  ending: workers.TaskEnding
  atMs: number
}

/** One incarnation of an entry. */
interface Owner {
  readonly incarnation: string
  readonly activity: PeerActivity
  /** Time of the agent's last message that the entry is known to have read, on the agent's clock, in milliseconds. */
  heardAtMs: number
  /** Recent ends, oldest first. Sent again when the link reopens. */
  ends: RetainedEnd[]
}

/**
 * Registry of the entry incarnations that may own tasks or retained ends.
 *
 * An entry lends the agent the right to run its tasks for a limited time, counted on the agent's own clock from the agent's last
 * message that the entry is known to have read. However long a message of the entry lay in a socket, it does not extend the lease
 * beyond that time, so the entry knows from its own clock when the agent's runs have ended.
 */
export class Owners implements workers.OwnerLeases {
  private readonly owners = new Map<string, Owner>()

  /** `clock` is the one whose time the agent's messages carry. */
  constructor (private readonly timers: settings.Timers, private readonly clock: workers.ElapsedClock) {}

  /**
   * Records a message from an entry incarnation. `heardAtMs` is the time of the agent's last message that the entry had read when it sent
   * this one; undefined for a message that does not extend the lease.
   */
  recordMessage (incarnation: string, heardAtMs: number | undefined): void {
    const owner = this.resolve(incarnation)
    owner.activity.record()
    if (heardAtMs !== undefined && heardAtMs > owner.heardAtMs) owner.heardAtMs = Math.min(heardAtMs, this.clock.nowMs())
  }

  remainingMs (incarnation: string): number {
    const owner = this.owners.get(incarnation)
    return owner === undefined ? 0 : owner.heardAtMs + OWNER_LEASE_MS - this.clock.nowMs()
  }

  /** Retains an end in case the link breaks before the entry reads it. */
  retainEnd (ending: workers.TaskEnding): void {
    this.resolve(ending.order.owner).ends.push({ ending, atMs: this.timers.nowMs() })
  }

  /** Drops the retained end of an attempt that its entry has ordered again, as it does with a refused job that is submitted again. */
  dropEnd ({ owner, task, attempt }: workers.TaskOrder): void {
    const ends = this.owners.get(owner)?.ends ?? []
    const key = workers.taskKey(task)
    const index = ends.findIndex(({ ending: { order } }) => order.attempt === attempt && workers.taskKey(order.task) === key)
    if (index >= 0) ends.splice(index, 1)
  }

  /** Returns the retained ends of an entry incarnation. */
  retainedEnds (incarnation: string): workers.TaskEnding[] {
    return this.owners.get(incarnation)?.ends.map(end => end.ending) ?? []
  }

  /** Removes expired ends and owners. Returns the incarnations whose lease is about to expire or has expired. */
  sweep (): string[] {
    const expiring: string[] = []
    const limitMs = this.timers.nowMs() - END_RETENTION_MS
    for (const owner of this.owners.values()) {
      if (owner.ends.length > 0 && owner.ends[0]!.atMs < limitMs) owner.ends = owner.ends.filter(end => end.atMs >= limitMs)
      if (this.remainingMs(owner.incarnation) < OWNER_LEASE_STOP_MARGIN_MS) expiring.push(owner.incarnation)
      if (owner.activity.sinceLastMessageMs > END_RETENTION_MS + OWNER_LEASE_MS) this.owners.delete(owner.incarnation)
    }
    return expiring
  }

  private resolve (incarnation: string): Owner {
    let owner = this.owners.get(incarnation)
    if (owner === undefined) {
      owner = { incarnation, activity: new PeerActivity(this.timers), heardAtMs: Number.NEGATIVE_INFINITY, ends: [] }
      this.owners.set(incarnation, owner)
    }
    return owner
  }
}
