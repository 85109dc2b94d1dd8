/** Reserves the free capacity of a worker for the entries whose waiting tasks are most urgent. */
import type { RunSize } from './driver.ts'
import { addSize, fits, NO_SIZE, subtractSize } from './size.ts'

/** The most urgent tasks of an entry that wait for capacity. */
export interface Demand {
  /** Lower ranks go first, from 0. */
  rank: number
  /** Monotonic time by which a task must start for its job to meet its latency objective, in milliseconds. */
  latestStartAtMs: number
  /** Capacity that one task takes. */
  size: RunSize
  /** Number of tasks. */
  count: number
}

/** Lifetime of a reservation, in milliseconds: the notice to the entry and its order each take a few milliseconds. */
const RESERVATION_TTL_MS = 25
/** Lifetime of a demand, in milliseconds; an entry repeats it every 100 ms while tasks wait. */
const DEMAND_TTL_MS = 250

interface OwnerDemand {
  demand: Demand
  receivedAtMs: number
  reserved: RunSize
  reservedCount: number
  reservedUntilMs: number
}

/** Demands of the entries, and the capacity reserved for each. */
export class Reservations {
  private readonly owners = new Map<string, OwnerDemand>()

  /** Records an entry's demand; undefined removes it, when none of its tasks wait any more. */
  updateDemand (owner: string, demand: Demand | undefined, nowMs: number): void {
    const known = this.owners.get(owner)
    if (demand === undefined) this.owners.delete(owner)
    else if (known === undefined) this.owners.set(owner, { demand, receivedAtMs: nowMs, reserved: NO_SIZE, reservedCount: 0, reservedUntilMs: nowMs })
    else Object.assign(known, { demand, receivedAtMs: nowMs })
  }

  /** Releases one reservation of an entry, in exchange for the task that it has ordered. */
  consumeReservation (owner: string, size: RunSize): void {
    const known = this.owners.get(owner)
    if (known === undefined || known.reservedCount === 0) return
    known.reservedCount--
    known.reserved = known.reservedCount === 0 ? NO_SIZE : subtractSize(known.reserved, size)
  }

  /** Returns the part of the free capacity that an entry may use. */
  freeCapacityFor (owner: string, free: RunSize): RunSize {
    let available = free
    for (const [other, { reserved }] of this.owners) {
      if (other !== owner) available = subtractSize(available, reserved)
    }
    return available
  }

  /** Reserves free capacity for the most urgent demands. Returns the entries that got new reservations. */
  assign (free: RunSize, nowMs: number): string[] {
    this.expire(nowMs)
    if (this.owners.size === 0) return []
    let unreserved = free
    for (const { reserved } of this.owners.values()) unreserved = subtractSize(unreserved, reserved)
    const granted: string[] = []
    for (const [owner, state] of [...this.owners].sort(([, left], [, right]) => compareDemands(left.demand, right.demand))) {
      const { size, count } = state.demand
      const reservedBefore = state.reservedCount
      for (; state.reservedCount < count && fits(unreserved, size); state.reservedCount++) {
        unreserved = subtractSize(unreserved, size)
        state.reserved = addSize(state.reserved, size)
        state.reservedUntilMs = nowMs + RESERVATION_TTL_MS
      }
      if (state.reservedCount > reservedBefore) granted.push(owner)
    }
    return granted
  }

  /** Removes the demands of entries that have not used a reservation in time, or that have stopped repeating their demand. */
  private expire (nowMs: number): void {
    for (const [owner, state] of this.owners) {
      const isUnused = state.reservedCount > 0 && nowMs >= state.reservedUntilMs
      if (isUnused || nowMs - state.receivedAtMs > DEMAND_TTL_MS) this.owners.delete(owner)
    }
  }

  /** Monotonic time at which the first unused reservation expires, in milliseconds; undefined when there is none. */
  get nextExpiryAtMs (): number | undefined {
    let firstMs: number | undefined
    for (const { reservedCount, reservedUntilMs } of this.owners.values()) {
      if (reservedCount > 0 && (firstMs === undefined || reservedUntilMs < firstMs)) firstMs = reservedUntilMs
    }
    return firstMs
  }
}

function compareDemands (left: Demand, right: Demand): number {
  return left.rank - right.rank || left.latestStartAtMs - right.latestStartAtMs
}
