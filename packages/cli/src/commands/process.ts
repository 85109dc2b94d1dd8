/** What the commands that run a process until a signal have in common. */
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import type { Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'

/** Settings that every process has. */
export interface ProcessSettings extends runtime.TlsSettings {
  nodeId: string
  stopLimitMs: number
  logLevel: settings.LogLevel
  statsdHost: string
  statsdPort: number
}

/** Services that a process hands to its parts. */
export interface ProcessServices {
  timers: settings.Timers
  log: settings.Log
  metrics: settings.Metrics
  tls?: runtime.LinkTls
}

/** A process with a start and a planned stop. */
export interface RunnableProgram extends runtime.Program {
  start: () => Promise<void>
}

/** Starts a program, prints its address lines, and stops it at a signal. */
export async function runProcess (
  program: string,
  values: ProcessSettings,
  streams: Streams,
  create: (services: ProcessServices) => RunnableProgram,
  describe: (running: RunnableProgram) => string
): Promise<number> {
  const tls = runtime.resolveTls(values)
  if (tls.err) {
    streams.error(tls.val.describe())
    return ExitCode.Usage
  }
  const timers = new settings.TimerService()
  const log = settings.createLog(program, values.nodeId, values.logLevel)
  const metrics = settings.createMetrics({ host: values.statsdHost, port: values.statsdPort, program, nodeId: values.nodeId })
  const running = create({ timers, log, metrics, tls: tls.val })
  try {
    await running.start()
  } catch (thrown) {
    streams.error(thrown instanceof Error ? `${program}: ${thrown.message}` : String(thrown))
    return ExitCode.Failure
  }
  streams.out(describe(running))
  const exitCode = await runtime.runUntilSignal(running, { timers, stopLimitMs: values.stopLimitMs, print: streams.error })
  await metrics.close()
  await log.close()
  return exitCode
}
