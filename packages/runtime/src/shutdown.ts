/** Runs a program until SIGTERM or SIGINT. */
import type * as settings from '@egretvalve/settings'

/** A program that can be stopped gracefully. */
export interface Program {
  stop: () => Promise<void>
  /** Shortens a stop in progress to less than `HURRIED_STOP_LIMIT_MS`. */
  hurry?: () => void
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
const SECOND_SIGNAL = 'second signal'
/** Time that a program which can hurry has after a second signal, in milliseconds. */
export const HURRIED_STOP_LIMIT_MS = 1_000

/**
 * Waits for SIGTERM or SIGINT, stops the program and returns the exit code. The time limit ends the wait for the stop. So does a second
 * signal, which first lets a program that can hurry answer its callers.
 */
export async function runUntilSignal (program: Program, options: ShutdownOptions): Promise<number> {
  await waitForSignal()
  const forced = new Promise<string>(resolve => {
    waitForSignal().then(() => resolve(SECOND_SIGNAL))
    options.timers.after(options.stopLimitMs, () => resolve(`limit of ${options.stopLimitMs} ms`))
  })
  const stopped = program.stop()
  const reason = await Promise.race([stopped.then(() => undefined), forced])
  if (reason === undefined) return 0
  if (reason === SECOND_SIGNAL && program.hurry !== undefined) {
    program.hurry()
    await Promise.race([stopped, options.timers.sleep(HURRIED_STOP_LIMIT_MS)])
  }
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
