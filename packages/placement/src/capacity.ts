/** Capacity vectors: what backend servers and workers have, and what tasks require. */
import type * as protocol from '@egretvalve/protocol'

/** Slots, connections, cores, memory in megabytes and accelerators. */
export interface Capacity {
  slots: number
  connections: number
  cores: number
  memoryMb: number
  accelerators: number
}

export enum CapacityDimension {
  Slots = 'slots',
  Connections = 'connections',
  Cores = 'cores',
  MemoryMb = 'memoryMb',
  Accelerators = 'accelerators'
}

const DIMENSIONS = Object.values(CapacityDimension)

/** Requirement of a task that states none. */
export const ONE_SLOT: Readonly<Capacity> = { slots: 1, connections: 0, cores: 0, memoryMb: 0, accelerators: 0 }

/** Decodes a capacity message; absent fields are 0. */
export function resolveCapacity (message: protocol.wire.ICapacity | null | undefined): Capacity {
  return {
    slots: message?.slots ?? 0,
    connections: message?.connections ?? 0,
    cores: message?.cores ?? 0,
    memoryMb: message?.memoryMb ?? 0,
    accelerators: message?.accelerators ?? 0
  }
}

/** Decodes the capacity that a task requires, which is at least one slot. */
export function resolveWanted (message: protocol.wire.ICapacity | null | undefined): Capacity {
  const wanted = resolveCapacity(message)
  return { ...wanted, slots: Math.max(1, wanted.slots) }
}

/** Returns true if a task requires one slot and nothing else. */
export function isOneSlot (wanted: Capacity): boolean {
  return wanted.slots === 1 && wanted.connections === 0 && wanted.cores === 0 && wanted.memoryMb === 0 && wanted.accelerators === 0
}

/** Returns how many tasks of a size fit the free capacity. Dimensions that the task does not require are ignored. */
export function countFitting (free: Capacity, wanted: Capacity): number {
  let count = Number.POSITIVE_INFINITY
  for (const dimension of DIMENSIONS) {
    if (wanted[dimension] > 0) count = Math.min(count, Math.floor(free[dimension] / wanted[dimension]))
  }
  return Math.max(0, count)
}

/** Returns the dimensions in which a task requires more than the total capacity. */
export function findShortDimensions (total: Capacity, wanted: Capacity): CapacityDimension[] {
  return DIMENSIONS.filter(dimension => wanted[dimension] > total[dimension])
}
