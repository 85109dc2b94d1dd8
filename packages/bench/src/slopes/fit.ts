/** Fits a straight line through measured points by least squares. */

/** A measured point. */
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

/** Fits a line; it needs at least two different x. With two points the errors are 0. */
export function fitLine (points: readonly MeasuredPoint[]): FittedLine {
  const count = points.length
  const meanX = mean(points.map(point => point.x))
  const meanY = mean(points.map(point => point.y))
  const spreadX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0) / spreadX
  const intercept = meanY - slope * meanX
  const residuals = points.reduce((sum, point) => sum + (point.y - intercept - slope * point.x) ** 2, 0)
  const variance = count > 2 ? residuals / (count - 2) : 0
  return {
    intercept,
    slope,
    interceptError: Math.sqrt(variance * (1 / count + meanX ** 2 / spreadX)),
    slopeError: Math.sqrt(variance / spreadX)
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
