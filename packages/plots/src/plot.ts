/** Line plots as inline SVG. */

/** A point of a line. */
export interface PlotPoint {
  x: number
  y: number
}

/** One line of a plot. */
export interface PlotLine {
  label: string
  points: PlotPoint[]
  /** Draws markers without connecting lines. */
  isScatter?: boolean
}

/** A line plot. */
export interface Plot {
  title: string
  xLabel: string
  yLabel: string
  lines: PlotLine[]
  isLogX?: boolean
}

const WIDTH_PX = 640
const HEIGHT_PX = 320
const MARGIN_PX = 56
const TICK_COUNT = 5
const MARK_RADIUS_PX = 3
const LEGEND_STEP_PX = 16
const COLOURS = ['#1b6ca8', '#c0392b', '#27864c', '#8e44ad', '#b9770e', '#5d6d7e']

interface Axis {
  lowest: number
  highest: number
  toPx: (value: number) => number
}

function createAxis (values: readonly number[], fromPx: number, toPx: number, isLog: boolean): Axis {
  const scale = (value: number): number => isLog ? Math.log10(Math.max(value, Number.MIN_VALUE)) : value
  const lowest = Math.min(...values)
  const highest = Math.max(...values)
  const span = scale(highest) - scale(lowest) || 1
  return { lowest, highest, toPx: value => fromPx + (scale(value) - scale(lowest)) / span * (toPx - fromPx) }
}

function listTicks (axis: Axis, isLog: boolean): number[] {
  const steps = Array.from({ length: TICK_COUNT }, (_, index) => index / (TICK_COUNT - 1))
  if (isLog) return steps.map(step => axis.lowest * (axis.highest / axis.lowest) ** step)
  return steps.map(step => axis.lowest + step * (axis.highest - axis.lowest))
}

function formatTick (value: number): string {
  return Number(value.toPrecision(3)).toString()
}

/** Escapes a text for HTML and SVG. */
export function escapeMarkup (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}

/** Renders a plot as an HTML figure with inline SVG; a plot without points becomes a `no data` paragraph. */
export function drawPlot (plot: Plot): string {
  const points = plot.lines.flatMap(line => line.points)
  if (points.length === 0) return `<p>${escapeMarkup(plot.title)}: no data</p>`
  const isLogX = plot.isLogX === true
  const xAxis = createAxis(points.map(point => point.x), MARGIN_PX, WIDTH_PX - MARGIN_PX / 2, isLogX)
  const yAxis = createAxis([0, ...points.map(point => point.y)], HEIGHT_PX - MARGIN_PX, MARGIN_PX / 2, false)
  const parts = [
    ...listTicks(xAxis, isLogX).map(value => drawText(xAxis.toPx(value), HEIGHT_PX - MARGIN_PX + 18, formatTick(value), 'middle')),
    ...listTicks(yAxis, false).map(value => drawText(MARGIN_PX - 6, yAxis.toPx(value) + 4, formatTick(value), 'end')),
    drawText(WIDTH_PX / 2, HEIGHT_PX - 12, plot.xLabel, 'middle'),
    drawText(MARGIN_PX, 14, plot.yLabel, 'start'),
    `<path d="M${MARGIN_PX} ${MARGIN_PX / 2}V${HEIGHT_PX - MARGIN_PX}H${WIDTH_PX - MARGIN_PX / 2}" fill="none" stroke="#888"/>`,
    ...plot.lines.flatMap((line, index) => drawLine(line, index, xAxis, yAxis))
  ]
  const svg = `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${HEIGHT_PX}" font-family="sans-serif" font-size="11">${parts.join('')}</svg>`
  return `<figure><figcaption>${escapeMarkup(plot.title)}</figcaption>${svg}</figure>`
}

function drawText (x: number, y: number, text: string, anchor: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${escapeMarkup(text)}</text>`
}

function drawLine (line: PlotLine, index: number, xAxis: Axis, yAxis: Axis): string[] {
  const colour = COLOURS[index % COLOURS.length]!
  const legend = `<g fill="${colour}">${drawText(WIDTH_PX - MARGIN_PX, 24 + index * LEGEND_STEP_PX, line.label, 'end')}</g>`
  const pixels = line.points.map(point => ({ x: xAxis.toPx(point.x).toFixed(1), y: yAxis.toPx(point.y).toFixed(1) }))
  if (line.isScatter === true) {
    return [legend, ...pixels.map(pixel => `<circle cx="${pixel.x}" cy="${pixel.y}" r="${MARK_RADIUS_PX}" fill="${colour}"/>`)]
  }
  const path = pixels.map(pixel => `${pixel.x},${pixel.y}`).join(' ')
  return [legend, `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.5"/>`]
}

/** Creates the line of a cumulative distribution (share of values at or below x), sampled to about `pointCount` points. */
export function createCumulativeLine (label: string, values: readonly number[], pointCount = 200): PlotLine {
  const sorted = [...values].sort((a, b) => a - b)
  const step = Math.max(1, Math.floor(sorted.length / pointCount))
  const points: PlotPoint[] = []
  for (let index = 0; index < sorted.length; index += step) points.push({ x: sorted[index]!, y: (index + 1) / sorted.length })
  if (sorted.length > 0) points.push({ x: sorted[sorted.length - 1]!, y: 1 })
  return { label, points }
}
