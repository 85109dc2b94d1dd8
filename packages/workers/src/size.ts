/** Arithmetic on sizes. */
import type { RunSize } from './driver.ts'

/** Returns the sum of two sizes. */
export function addSize (left: RunSize, right: RunSize): RunSize {
  return {
    cpuMilli: left.cpuMilli + right.cpuMilli,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators
  }
}

/** Returns what is left of a size. */
export function subtractSize (left: RunSize, right: RunSize): RunSize {
  return {
    cpuMilli: left.cpuMilli - right.cpuMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators
  }
}

/** Returns true when a task of the size fits the room. */
export function fits (room: RunSize, size: RunSize): boolean {
  return size.cpuMilli <= room.cpuMilli && size.memoryMb <= room.memoryMb && size.accelerators <= room.accelerators
}

/** A size of nothing. */
export const NO_SIZE: RunSize = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
