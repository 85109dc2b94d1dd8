/** Processes under measurement. The executable cannot start them; only the load script of the repository registers a starter. */
import * as protocol from '@egretvalve/protocol'

/** A running process of the product. */
export interface MeasuredProcess {
  readonly processId: number
  /** Returns the address that follows the given word in the first line that the process printed. */
  addressAfter: (word: string) => string
  /** Stops the process and waits until it has exited. */
  stop: () => Promise<void>
}

/** Starts a subcommand of the executable and waits for the line with its addresses. */
export type ProcessStarter = (command: string, args: readonly string[]) => Promise<MeasuredProcess>

let registered: ProcessStarter | undefined

/** Registers the function that starts processes. */
export function registerProcessStarter (starter: ProcessStarter): void {
  registered = starter
}

/** Returns whether a process starter has been registered. */
export function canStartProcesses (): boolean {
  return registered !== undefined
}

/** Starts a process. Throws `StepError` with `Unavailable` when no starter has been registered. */
export async function startMeasuredProcess (command: string, args: readonly string[]): Promise<MeasuredProcess> {
  if (registered !== undefined) return await registered(command, args)
  throw new protocol.StepError(protocol.ErrorCode.Unavailable, 'process.start', command, 'the executable starts no process; use npm run load in the repository')
}
