/** Gauges and latency histograms in the Prometheus text format, served on the metrics address of a process. */

/** Upper bounds of the histogram buckets. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000]

/** Duration histogram. */
class Histogram {
  private readonly counts = BUCKETS_MS.map(() => 0)
  private count = 0
  private sumMs = 0

  observe (durationMs: number): void {
    this.count++
    this.sumMs += durationMs
    const bucket = BUCKETS_MS.findIndex(bound => durationMs <= bound)
    if (bucket >= 0) this.counts[bucket]!++
  }

  format (name: string): string[] {
    let cumulative = 0
    const buckets = BUCKETS_MS.map((bound, index) => {
      cumulative += this.counts[index]!
      return `${name}_bucket{le="${bound}"} ${cumulative}`
    })
    return [`# TYPE ${name} histogram`, ...buckets, `${name}_bucket{le="+Inf"} ${this.count}`, `${name}_sum ${Math.round(this.sumMs)}`, `${name}_count ${this.count}`]
  }
}

/** Metrics registry of one process. */
export class Instruments {
  private readonly histograms = new Map<string, Histogram>()
  private readonly sources: Array<() => Record<string, number>> = []

  /** Registers a function whose returned numbers are exported as gauges, such as counts since the start of the process. */
  addSource (read: () => Record<string, number>): void {
    this.sources.push(read)
  }

  /** Adds a duration to the named histogram. Names carry their unit as a suffix. */
  observe (name: string, durationMs: number): void {
    let histogram = this.histograms.get(name)
    if (histogram === undefined) {
      histogram = new Histogram()
      this.histograms.set(name, histogram)
    }
    histogram.observe(durationMs)
  }

  /** Formats all metrics, sorted by name. */
  format (): string {
    const numbers = this.sources.flatMap(read => Object.entries(read())).map(([name, value]) => [`# TYPE ${toMetricName(name)} gauge`, `${toMetricName(name)} ${value}`])
    const histograms = [...this.histograms].map(([name, histogram]) => histogram.format(toMetricName(name)))
    return [...numbers, ...histograms].sort((left, right) => left[0]! < right[0]! ? -1 : 1).flat().join('\n') + '\n'
  }
}

function toMetricName (name: string): string {
  return `egretvalve_${name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}`
}
