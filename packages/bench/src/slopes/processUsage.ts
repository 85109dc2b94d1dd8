/** Processor time and memory of a process, read from Linux /proc. */
import { readFile } from 'node:fs/promises'

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time since the process started, in milliseconds. */
  cpuMs: number
  /** Resident memory in megabytes. */
  memoryMb: number
}

/** Length of a clock tick in /proc. */
const TICK_MS = 10
/** Field positions in /proc/<pid>/stat, counted after the closing parenthesis of the command name. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
const KB_PER_MB = 1_024

/** Reads the resource usage of a process. Rejects if the process does not exist. */
export async function readProcessUsage (processId: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${processId}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
  const status = await readFile(`/proc/${processId}/status`, 'utf8')
  const residentKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0)
  return { cpuMs: ticks * TICK_MS, memoryMb: residentKb / KB_PER_MB }
}
