/** Urgency of the work that waits at an entry, as announced to the agents. */
import * as protocol from '@egretvalve/protocol'
import type { UrgencyOptions } from './defaults.ts'
import type { WaitingItem } from './waitingQueue.ts'

const { wire } = protocol

/** Returns the urgency of the head of a queue; idle if it is empty or has waited only briefly. */
export function resolveUrgency (head: WaitingItem<unknown> | undefined, nowMs: number, options: UrgencyOptions): protocol.wire.Urgency {
  if (head === undefined) return wire.Urgency.URGENCY_IDLE
  const waitedMs = nowMs - head.enqueuedAtMs
  if (head.requestClass !== wire.RequestClass.REQUEST_CLASS_PRESSING) {
    return waitedMs < options.raiseOrdinaryAfterMs ? wire.Urgency.URGENCY_IDLE : wire.Urgency.URGENCY_ORDINARY
  }
  if (waitedMs < options.raisePressingAfterMs) return wire.Urgency.URGENCY_IDLE
  const slackMs = head.latestStartAtMs - nowMs
  return slackMs < options.criticalSlackMs ? wire.Urgency.URGENCY_CRITICAL : wire.Urgency.URGENCY_PRESSING
}

/** Tracks the announced urgency of one service: it is raised immediately, and lowered once it has stayed lower for `lowerAfterMs`. */
export class UrgencyTracker {
  announced: protocol.wire.Urgency = wire.Urgency.URGENCY_IDLE
  private lastAtLevelMs = 0

  constructor (private readonly options: UrgencyOptions) {}

  /** Returns the urgency to announce, or undefined if the announced one is unchanged. */
  update (urgency: protocol.wire.Urgency, nowMs: number): protocol.wire.Urgency | undefined {
    if (urgency >= this.announced) this.lastAtLevelMs = nowMs
    if (urgency === this.announced) return undefined
    if (urgency < this.announced && nowMs - this.lastAtLevelMs < this.options.lowerAfterMs) return undefined
    this.announced = urgency
    this.lastAtLevelMs = nowMs
    return urgency
  }
}
