/** Runs a program until a signal asks it to stop. */
import type * as settings from '@egretvalve/settings'

/** A program with a planned stop. */
export interface Program {
  stop: () => Promise<void>
  /** States what is still in progress, for a forced end. */
  describeRemaining: () => string
}

/** How a program stops. */
export interface ShutdownOptions {
  timers: settings.Timers
  /** Longest time for a planned stop, in milliseconds. */
  stopLimitMs: number
  /** Writes a line for the operator. */
  print: (line: string) => void
}

const EXIT_FORCED = 1

/** Waits for SIGTERM or SIGINT, stops the program and returns the exit code. A second signal or the limit ends it at once. */
export async function runUntilSignal (program: Program, options: ShutdownOptions): Promise<number> {
  await waitForSignal()
  const forced = new Promise<string>(resolve => {
    waitForSignal().then(() => resolve('second signal'))
    options.timers.after(options.stopLimitMs, () => resolve(`limit of ${options.stopLimitMs} ms`))
  })
  const reason = await Promise.race([program.stop().then(() => undefined), forced])
  if (reason === undefined) return 0
  options.print(`stopped by ${reason}; left behind: ${program.describeRemaining()}`)
  return EXIT_FORCED
}

async function waitForSignal (): Promise<void> {
  await new Promise<void>(resolve => {
    const finish = (): void => {
      process.removeListener('SIGTERM', finish)
      process.removeListener('SIGINT', finish)
      resolve()
    }
    process.once('SIGTERM', finish)
    process.once('SIGINT', finish)
  })
}
