/** Least-squares line fit. */

export interface MeasuredPoint {
  x: number
  y: number
}

/** A fitted line `y = intercept + slope * x` with the standard errors of its parameters. */
export interface FittedLine {
  intercept: number
  slope: number
  interceptError: number
  slopeError: number
}

/** Fits a line by least squares. Requires at least two distinct x values; with two points the standard errors are 0. */
export function fitLine (points: readonly MeasuredPoint[]): FittedLine {
  const count = points.length
  const meanX = mean(points.map(point => point.x))
  const meanY = mean(points.map(point => point.y))
  const squaredDeviationX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0) / squaredDeviationX
  const intercept = meanY - slope * meanX
  const residuals = points.reduce((sum, point) => sum + (point.y - intercept - slope * point.x) ** 2, 0)
  const variance = count > 2 ? residuals / (count - 2) : 0
  return {
    intercept,
    slope,
    interceptError: Math.sqrt(variance * (1 / count + meanX ** 2 / squaredDeviationX)),
    slopeError: Math.sqrt(variance / squaredDeviationX)
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
