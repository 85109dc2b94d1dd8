/** Processor time and memory of a process on this machine. */
import { readFile } from 'node:fs/promises'

/** Use of a process since its start. */
export interface ProcessUsage {
  /** Processor time in milliseconds. */
  cpuMs: number
  /** Memory in use in megabytes. */
  memoryMb: number
}

/** Length of a clock tick in /proc, in milliseconds. */
const TICK_MS = 10
/** Positions in /proc/<pid>/stat after the command's closing parenthesis. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
const KB_PER_MB = 1_024

/** Reads the use of a process. */
export async function readProcessUsage (processId: number): Promise<ProcessUsage> {
  const stat = await readFile(`/proc/${processId}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
  const status = await readFile(`/proc/${processId}/status`, 'utf8')
  const residentKb = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0)
  return { cpuMs: ticks * TICK_MS, memoryMb: residentKb / KB_PER_MB }
}
