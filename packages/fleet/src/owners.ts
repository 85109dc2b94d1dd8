/** The entries whose tasks an agent holds: when they were last heard, and ends that they may not have read. */
import type * as settings from '@egretvalve/settings'
import type * as workers from '@egretvalve/workers'
import { END_MEMORY_MS, OWNER_TIMEOUT_MS } from './defaults.ts'
import { Heard } from './watchdog.ts'

interface KeptEnd {
  ending: workers.TaskEnding
  atMs: number
}

/** One life of an entry. */
export interface Owner {
  readonly life: string
  readonly heard: Heard
  /** Ends of the last seconds, repeated when the link comes back. */
  ends: KeptEnd[]
}

/** All lives of entries of which something is held or kept. */
export class Owners {
  private readonly owners = new Map<string, Owner>()

  constructor (private readonly timers: settings.Timers) {}

  /** Notes a message of an entry's life. */
  noteHeard (life: string): void {
    this.resolve(life).heard.note()
  }

  /** Keeps an end for a link that breaks before the entry reads it. */
  keep (ending: workers.TaskEnding): void {
    this.resolve(ending.order.owner).ends.push({ ending, atMs: this.timers.nowMs() })
  }

  /** Lists the ends that the entry may not have read. */
  keptEnds (life: string): workers.TaskEnding[] {
    return this.owners.get(life)?.ends.map(kept => kept.ending) ?? []
  }

  /** Forgets old ends, and lists the lives that have been silent for too long. */
  review (): string[] {
    const silent: string[] = []
    const limitMs = this.timers.nowMs() - END_MEMORY_MS
    for (const owner of this.owners.values()) {
      if (owner.ends.length > 0 && owner.ends[0]!.atMs < limitMs) owner.ends = owner.ends.filter(kept => kept.atMs >= limitMs)
      if (owner.heard.silentMs > OWNER_TIMEOUT_MS) silent.push(owner.life)
      if (owner.heard.silentMs > END_MEMORY_MS + OWNER_TIMEOUT_MS) this.owners.delete(owner.life)
    }
    return silent
  }

  private resolve (life: string): Owner {
    let owner = this.owners.get(life)
    if (owner === undefined) {
      owner = { life, heard: new Heard(this.timers), ends: [] }
      this.owners.set(life, owner)
    }
    return owner
  }
}
