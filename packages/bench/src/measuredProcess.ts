/** Processes under measurement. The executable starts none: the repository's load script registers what starts them. */
import * as protocol from '@egretvalve/protocol'

/** A running process of the product. */
export interface MeasuredProcess {
  readonly processId: number
  /** Returns the address after a word of the first line that the process printed. */
  addressAfter: (word: string) => string
  /** Ends the process and waits until it is gone. */
  stop: () => Promise<void>
}

/** Starts a subcommand and waits for the line that states its addresses. */
export type ProcessStarter = (command: string, args: readonly string[]) => Promise<MeasuredProcess>

let registered: ProcessStarter | undefined

/** Registers what starts processes. */
export function registerProcessStarter (starter: ProcessStarter): void {
  registered = starter
}

/** True when processes can be started. */
export function canStartProcesses (): boolean {
  return registered !== undefined
}

/** Starts a process, or fails when nothing has been registered that could. */
export async function startMeasuredProcess (command: string, args: readonly string[]): Promise<MeasuredProcess> {
  if (registered !== undefined) return await registered(command, args)
  throw new protocol.StepError(protocol.ErrorCode.Unavailable, 'process.start', command, 'the executable starts no process; use npm run load in the repository')
}
