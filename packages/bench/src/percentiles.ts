/** Percentiles of measured values by histogram. */
import * as hdr from 'hdr-histogram-js'

/** Histogram units for one unit of the recorded value. */
const UNITS_PER_VALUE = 10_000
const HIGHEST_UNITS = 1e11
const SIGNIFICANT_DIGITS = 4

/** A histogram of non-negative values with four significant digits. */
export class Distribution {
  private readonly histogram = hdr.build({
    bitBucketSize: 64,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_UNITS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS
  })

  /** Number of recorded values. */
  get count (): number {
    return this.histogram.totalCount
  }

  /** Adds a value. */
  record (value: number): void {
    this.histogram.recordValue(Math.round(Math.max(0, value) * UNITS_PER_VALUE))
  }

  /** Returns the value at a percentile from 0 to 100, or undefined when nothing was recorded. */
  at (percentile: number): number | undefined {
    if (this.count === 0) return undefined
    return this.histogram.getValueAtPercentile(percentile) / UNITS_PER_VALUE
  }
}

/** Creates the distribution of a list of values. */
export function createDistribution (values: readonly number[]): Distribution {
  const distribution = new Distribution()
  for (const value of values) distribution.record(value)
  return distribution
}
