/** Decides when an entry sends its callers to other entries. Answers a load that one entry can't carry while others can. */
import type * as settings from '@egretvalve/settings'

/** Period of the decision, in milliseconds. */
const PERIOD_MS = 100
/** Accepted share below which an entry counts as overloaded. */
const OVERLOADED_SHARE = 0.9
/** Time for which the overload must last before callers are sent elsewhere, in milliseconds. Shorter bursts are over before the balancer has reacted. */
const SUSTAINED_MS = 1_000
/** Time from the first failed readiness check until the balancer sends no more callers, in milliseconds. Connections closed earlier would come back. */
const BALANCER_DELAY_MS = 2_500
/** Time without overload after which the entry takes callers again, in milliseconds. */
const RECOVERY_MS = 3_000

/** State that the decision goes by. */
export interface SheddingServices {
  timers: settings.Timers
  /** Returns the share of arriving jobs that this entry accepts, from 0 to 1. */
  acceptedShare: () => number
  /** Returns true while some other entry accepts all its jobs. */
  hasRoomElsewhere: () => boolean
  /** Returns a number from 0 to 1. */
  random: () => number
  /** Called when shedding starts or ends. */
  onChanged: (isShedding: boolean) => void
}

/** Sends callers elsewhere while this entry is overloaded and others are not: first new ones, then also those with open connections. */
export class LoadShedding {
  private overloadedSinceMs: number | undefined
  private sheddingSinceMs: number | undefined
  private lastOverloadAtMs = 0
  private readonly handle: settings.TimerHandle

  constructor (private readonly services: SheddingServices) {
    this.handle = services.timers.every(PERIOD_MS, () => { this.update() })
  }

  /** True while this entry refuses a good part of its jobs. */
  get isOverloaded (): boolean {
    return this.services.acceptedShare() < OVERLOADED_SHARE
  }

  /** True while new callers should go to other entries. */
  get isShedding (): boolean {
    return this.sheddingSinceMs !== undefined
  }

  /** Decides whether the connection of a caller is closed after its answer. More of them the more jobs are refused. */
  closesConnection (): boolean {
    if (this.sheddingSinceMs === undefined || this.nowMs - this.sheddingSinceMs < BALANCER_DELAY_MS) return false
    return this.services.random() < 1 - this.services.acceptedShare()
  }

  stop (): void {
    this.handle.cancel()
  }

  private get nowMs (): number {
    return this.services.timers.nowMs()
  }

  private update (): void {
    if (this.isOverloaded) {
      this.overloadedSinceMs ??= this.nowMs
      this.lastOverloadAtMs = this.nowMs
    } else this.overloadedSinceMs = undefined
    const hasRoomElsewhere = this.services.hasRoomElsewhere()
    if (this.sheddingSinceMs === undefined) {
      const isSustained = this.overloadedSinceMs !== undefined && this.nowMs - this.overloadedSinceMs >= SUSTAINED_MS
      if (isSustained && hasRoomElsewhere) this.setShedding(true)
    } else if (!hasRoomElsewhere || this.nowMs - this.lastOverloadAtMs >= RECOVERY_MS) this.setShedding(false)
  }

  private setShedding (isShedding: boolean): void {
    this.sheddingSinceMs = isShedding ? this.nowMs : undefined
    this.services.onChanged(isShedding)
  }
}
