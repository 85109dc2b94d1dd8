/** Shared by the commands that run a process until a signal. */
import * as runtime from '@egretvalve/runtime'
import * as settings from '@egretvalve/settings'
import type { Streams } from '../command.ts'
import { events } from '../events.ts'
import { ExitCode } from '../exitCode.ts'

/** Interval at which the TLS files are checked for changes. */
const TLS_REFRESH_MS = 10_000

/** Settings common to all processes, with the node id. */
export interface ProcessSettings extends runtime.ProcessSettings {
  nodeId: string
}

/** Services injected into the parts of a process. */
export interface ProcessServices {
  timers: settings.Timers
  log: settings.Log
  metrics: settings.Metrics
  tls?: runtime.LinkTls
}

/** A program that can be started and stopped gracefully. */
export interface RunnableProgram extends runtime.Program {
  start: () => Promise<void>
}

/** Reloads the TLS files. If they cannot be loaded, logs the error and leaves the current key material in use. */
function refreshTls (tls: runtime.TlsSource | undefined, log: settings.Log): void {
  try {
    if (tls?.refresh() === true) log.event(events.tlsRefreshed)
  } catch (thrown) {
    log.event(events.tlsUnreadable, { reason: thrown instanceof Error ? thrown.message : String(thrown) })
  }
}

/** Starts a program, prints the line that `describe` returns, and stops it on a signal. Returns the exit code. */
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
  runtime.processBudget.setLimits(runtime.overrideLimits(runtime.detectLimits(), values))
  const reports = runtime.processBudget.startReports(log)
  const refresh = timers.every(TLS_REFRESH_MS, () => { refreshTls(tls.val, log) })
  const running = create({ timers, log, metrics, tls: tls.val })
  try {
    await running.start()
  } catch (thrown) {
    streams.error(thrown instanceof Error ? `${program}: ${thrown.message}` : String(thrown))
    return ExitCode.Failure
  }
  streams.out(describe(running))
  const exitCode = await runtime.runUntilSignal(running, { timers, stopLimitMs: values.stopLimitMs, print: streams.error })
  refresh.cancel()
  reports.cancel()
  await metrics.close()
  await log.close()
  return exitCode
}
