/** Keeps the room of a worker for the entry whose waiting tasks are most urgent, where several entries have tasks that wait. */
import type { RunSize } from './driver.ts'
import { addSize, fits, NO_SIZE, subtractSize } from './size.ts'

/** The most urgent tasks of an entry that wait for room. */
export interface Demand {
  /** 0 goes first. */
  rank: number
  /** Steady time at which a task must start for its job to meet its objective. */
  latestStartAtMs: number
  /** Room that one task takes. */
  size: RunSize
  /** Number of tasks. */
  count: number
}

/** Time for which room is kept: the notice to the entry and its order each take a few milliseconds. */
const RESERVATION_MS = 25
/** Time for which a demand holds; an entry repeats it every 100 ms while tasks wait. */
const DEMAND_MS = 250

interface OwnerDemand {
  demand: Demand
  heardAtMs: number
  reserved: RunSize
  reservedCount: number
  reservedUntilMs: number
}

/** The demands of the entries, and the room that is kept for each. */
export class Reservations {
  private readonly owners = new Map<string, OwnerDemand>()

  /** Takes an entry's demand, or that none of its tasks waits any more. */
  note (owner: string, demand: Demand | undefined, nowMs: number): void {
    const known = this.owners.get(owner)
    if (demand === undefined) this.owners.delete(owner)
    else if (known === undefined) this.owners.set(owner, { demand, heardAtMs: nowMs, reserved: NO_SIZE, reservedCount: 0, reservedUntilMs: nowMs })
    else Object.assign(known, { demand, heardAtMs: nowMs })
  }

  /** Notes that an entry has sent a task, which takes the place of a reservation. */
  noteOrder (owner: string, size: RunSize): void {
    const known = this.owners.get(owner)
    if (known === undefined || known.reservedCount === 0) return
    known.reservedCount--
    known.reserved = known.reservedCount === 0 ? NO_SIZE : subtractSize(known.reserved, size)
  }

  /** Returns the part of the free room that an entry may use. */
  roomFor (owner: string, free: RunSize): RunSize {
    let room = free
    for (const [other, { reserved }] of this.owners) {
      if (other !== owner) room = subtractSize(room, reserved)
    }
    return room
  }

  /** Keeps free room for the most urgent demands, and lists the entries that got some. */
  assign (free: RunSize, nowMs: number): string[] {
    this.expire(nowMs)
    if (this.owners.size === 0) return []
    let open = free
    for (const { reserved } of this.owners.values()) open = subtractSize(open, reserved)
    const granted: string[] = []
    for (const [owner, state] of [...this.owners].sort(([, left], [, right]) => compareDemands(left.demand, right.demand))) {
      const { size, count } = state.demand
      const reservedBefore = state.reservedCount
      for (; state.reservedCount < count && fits(open, size); state.reservedCount++) {
        open = subtractSize(open, size)
        state.reserved = addSize(state.reserved, size)
        state.reservedUntilMs = nowMs + RESERVATION_MS
      }
      if (state.reservedCount > reservedBefore) granted.push(owner)
    }
    return granted
  }

  /** Forgets the demands of entries that don't use what was kept for them, or that fell silent. */
  private expire (nowMs: number): void {
    for (const [owner, state] of this.owners) {
      const isUnused = state.reservedCount > 0 && nowMs >= state.reservedUntilMs
      if (isUnused || nowMs - state.heardAtMs > DEMAND_MS) this.owners.delete(owner)
    }
  }

  /** Time until which room is kept that no order has taken yet; undefined when there is none. */
  get reservedUntilMs (): number | undefined {
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
