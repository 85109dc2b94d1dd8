/** Runs a program until SIGTERM or SIGINT. */
import type * as settings from '@egretvalve/settings'

/** A program that can be stopped gracefully. */
export interface Program {
  stop: () => Promise<void>
  /** Describes the work still in progress, printed when the stop is forced. */
  describeRemaining: () => string
}

export interface ShutdownOptions {
  timers: settings.Timers
  /** Time limit of a graceful stop, in milliseconds. */
  stopLimitMs: number
  /** Prints a line to the operator's terminal. */
  print: (line: string) => void
}

const EXIT_FORCED = 1

/** Waits for SIGTERM or SIGINT, stops the program and returns the exit code. A second signal or the time limit ends the wait for the stop. */
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
