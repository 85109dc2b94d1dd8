/** Metrics over StatsD (UDP). `docs/operators/metrics.md` lists the names. */
import { StatsD } from 'hot-shots'

/** Sends counters, gauges and timings. */
export interface Metrics {
  increment: (name: string, count?: number) => void
  gauge: (name: string, value: number) => void
  timing: (name: string, durationMs: number) => void
  close: () => Promise<void>
}

/** Where metrics are sent. */
export interface MetricsOptions {
  /** Host of the StatsD collector, by IP number. */
  host: string
  /** UDP port of the StatsD collector; 0 sends nothing. */
  port: number
  program: string
  nodeId: string
}

/** Longest time that samples wait in the client's buffer. */
const FLUSH_INTERVAL_MS = 1_000
/** Payload of a UDP packet that fits one Ethernet frame. */
const MAX_PACKET_BYTES = 1_400

/** Creates the metrics client, or one that discards everything when the port is 0. */
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

/** Creates a metrics client that discards everything. */
export function createSilentMetrics (): Metrics {
  return { increment: () => {}, gauge: () => {}, timing: () => {}, close: async () => {} }
}
