/** Arithmetic on resource sizes. */
import type { RunSize } from './driver.ts'

export function addSize (left: RunSize, right: RunSize): RunSize {
  return {
    cpuMilli: left.cpuMilli + right.cpuMilli,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators
  }
}

/** Returns `left - right`; the result may be negative. */
export function subtractSize (left: RunSize, right: RunSize): RunSize {
  return {
    cpuMilli: left.cpuMilli - right.cpuMilli,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators
  }
}

/** Returns true when a task of the size fits into the free capacity. */
export function fits (free: RunSize, size: RunSize): boolean {
  return size.cpuMilli <= free.cpuMilli && size.memoryMb <= free.memoryMb && size.accelerators <= free.accelerators
}

export const NO_SIZE: RunSize = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/** Returns true if the sizes are the same. */
export function equalsSize (left: RunSize, right: RunSize): boolean {
  return left.cpuMilli === right.cpuMilli && left.memoryMb === right.memoryMb && left.accelerators === right.accelerators
}
