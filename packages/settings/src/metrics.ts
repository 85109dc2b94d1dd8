/** Metrics over StatsD (UDP). The names are listed in `docs/operators/metrics.md`. */
import { StatsD } from 'hot-shots'

/** Metrics client. */
export interface Metrics {
  increment: (name: string, count?: number) => void
  gauge: (name: string, value: number) => void
  timing: (name: string, durationMs: number) => void
  close: () => Promise<void>
}

export interface MetricsOptions {
  /** IP address of the StatsD collector. */
  host: string
  /** UDP port of the StatsD collector; 0 disables metrics. */
  port: number
  program: string
  nodeId: string
}

/** Longest time that samples stay in the client's buffer. */
const FLUSH_INTERVAL_MS = 1_000
/** Largest UDP payload; fits into one Ethernet frame. */
const MAX_PACKET_BYTES = 1_400

/** Creates a metrics client. It discards all samples if the port is 0. */
export function createMetrics (options: MetricsOptions): Metrics {
  if (options.port === 0) return createSilentMetrics()
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: `egretvalve.${options.program}.`,
    globalTags: { node: options.nodeId },
    maxBufferSize: MAX_PACKET_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: () => {}
  })
  return {
    increment: (name, count = 1) => { client.increment(name, count) },
    gauge: (name, value) => { client.gauge(name, value) },
    timing: (name, durationMs) => { client.timing(name, durationMs) },
    close: async () => { await new Promise<void>(resolve => { client.close(() => resolve()) }) }
  }
}

/** Creates a metrics client that discards all samples. */
export function createSilentMetrics (): Metrics {
  return { increment: () => {}, gauge: () => {}, timing: () => {}, close: async () => {} }
}
