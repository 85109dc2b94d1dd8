/** Owners of an agent's tasks, by entry incarnation: their liveness, and recent ends that they may not have received. */
import type * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'
import { END_RETENTION_MS, OWNER_TIMEOUT_MS } from './defaults.ts'
import { PeerActivity } from './liveness.ts'

interface RetainedEnd {
  ending: workers.TaskEnding
  atMs: number
}

/** One incarnation of an entry. */
export interface Owner {
  readonly incarnation: string
  readonly activity: PeerActivity
  /** Recent ends, oldest first. Sent again when the link reopens. */
  ends: RetainedEnd[]
}

/** Registry of the entry incarnations that may own tasks or retained ends. */
export class Owners {
  private readonly owners = new Map<string, Owner>()

  constructor (private readonly timers: settings.Timers) {}

  /** Records a message from an entry incarnation. */
  recordMessage (incarnation: string): void {
    this.resolve(incarnation).activity.record()
  }

  /** Retains an end in case the link breaks before the entry reads it. */
  retainEnd (ending: workers.TaskEnding): void {
    this.resolve(ending.order.owner).ends.push({ ending, atMs: this.timers.nowMs() })
  }

  /** Returns the retained ends of an entry incarnation. */
  retainedEnds (incarnation: string): workers.TaskEnding[] {
    return this.owners.get(incarnation)?.ends.map(end => end.ending) ?? []
  }

  /** Removes expired ends and owners. Returns the incarnations that are unresponsive. */
  sweep (): string[] {
    const unresponsive: string[] = []
    const limitMs = this.timers.nowMs() - END_RETENTION_MS
    for (const owner of this.owners.values()) {
      if (owner.ends.length > 0 && owner.ends[0]!.atMs < limitMs) owner.ends = owner.ends.filter(end => end.atMs >= limitMs)
      if (owner.activity.sinceLastMessageMs > OWNER_TIMEOUT_MS) unresponsive.push(owner.incarnation)
      if (owner.activity.sinceLastMessageMs > END_RETENTION_MS + OWNER_TIMEOUT_MS) this.owners.delete(owner.incarnation)
    }
    return unresponsive
  }

  private resolve (incarnation: string): Owner {
    let owner = this.owners.get(incarnation)
    if (owner === undefined) {
      owner = { incarnation, activity: new PeerActivity(this.timers), ends: [] }
      this.owners.set(incarnation, owner)
    }
    return owner
  }
}
