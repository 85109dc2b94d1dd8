/** Measures the resource usage of a process over a time window. */
import type * as settings from '@egretvalve/settings'
import { readProcessUsage } from './processUsage.ts'
import type { SocketByteCounter } from './socketBytes.ts'

/** Costs of a process during a window. */
export interface WindowCosts {
  cpuMsPerSecond: number
  /** Bytes per second, both directions together. */
  bytesPerSecond: number
  /** Resident memory at the end of the window. */
  memoryMb: number
  durationMs: number
  cpuMs: number
}

/** Process and connections to measure. */
export interface WindowTarget {
  processId: number
  counter: SocketByteCounter
  /** Server addresses whose connections are counted. */
  addresses: readonly string[]
}

const MS_PER_SECOND = 1_000

/** Measures a process from the start of `work` until it resolves. */
export async function measureWindow (target: WindowTarget, timers: settings.Timers, work: () => Promise<void>): Promise<WindowCosts> {
  const usageBefore = await readProcessUsage(target.processId)
  const bytesBefore = sumBytes(target)
  const startedAtMs = timers.nowMs()
  await work()
  const durationMs = timers.nowMs() - startedAtMs
  const usageAfter = await readProcessUsage(target.processId)
  const cpuMs = usageAfter.cpuMs - usageBefore.cpuMs
  const seconds = durationMs / MS_PER_SECOND
  return {
    cpuMsPerSecond: cpuMs / seconds,
    bytesPerSecond: (sumBytes(target) - bytesBefore) / seconds,
    memoryMb: usageAfter.memoryMb,
    durationMs,
    cpuMs
  }
}

function sumBytes (target: WindowTarget): number {
  return target.addresses.reduce((sum, address) => {
    const bytes = target.counter.read(address)
    return sum + bytes.written + bytes.read
  }, 0)
}
