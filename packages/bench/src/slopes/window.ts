/** Measures a process over a window of time. */
import type * as settings from '@egretvalve/settings'
import { readProcessUsage } from './processUsage.ts'
import type { SocketByteCounter } from './socketBytes.ts'

/** Costs of a process for each second of a window. */
export interface WindowCosts {
  cpuMsPerSecond: number
  /** Bytes for each second, both directions. */
  bytesPerSecond: number
  memoryMb: number
  durationMs: number
  cpuMs: number
}

/** What is measured. */
export interface WindowTarget {
  processId: number
  counter: SocketByteCounter
  /** Addresses of the servers whose connections count. */
  addresses: readonly string[]
}

const MS_PER_SECOND = 1_000

/** Measures the costs while the work runs. */
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
