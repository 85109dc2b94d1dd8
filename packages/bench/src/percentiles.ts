/** Percentiles of measured values. */
import * as hdr from 'hdr-histogram-js'

/** Histogram units per unit of the recorded value; the histogram holds integers only. */
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

  get count (): number {
    return this.histogram.totalCount
  }

  /** Records a value; negative values count as 0. */
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
