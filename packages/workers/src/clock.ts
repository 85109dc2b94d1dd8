/** Clocks: conversion to a worker's clock, and times that include VM suspensions. */
import type * as settings from '@egretvalve/settings'

/** Estimate of a worker's monotonic clock. It is never ahead of the worker's own clock, also if that one is slower than the agent's. */
export class WorkerClock {
  private known: { clockMs: number, atMs: number } | undefined

  /** `maxRateRatio` is the largest ratio between the rates of two VMs' clocks. */
  constructor (private readonly timers: settings.Timers, private readonly maxRateRatio: number) {}

  /** True once an answer has carried the worker's time. */
  get isKnown (): boolean {
    return this.known !== undefined
  }

  /** Applies the worker's time from an answer. The answer was written before it was read, so the estimate is never ahead. */
  update (clockMs: number): void {
    this.known = { clockMs: Math.max(clockMs, this.estimateMs), atMs: this.timers.nowMs() }
  }

  /** Applies the time from a report, which may have another writer: one that is later than the worker's clock can be is ignored. */
  updateFromReport (clockMs: number): void {
    if (this.known === undefined) return
    const latestMs = this.known.clockMs + (this.timers.nowMs() - this.known.atMs) * this.maxRateRatio
    if (clockMs <= latestMs) this.update(clockMs)
  }

  /** Returns the worker's time after a delay, in milliseconds. */
  timeAfter (delayMs: number): number {
    return Math.floor(this.estimateMs + delayMs)
  }

  private get estimateMs (): number {
    if (this.known === undefined) return Number.NEGATIVE_INFINITY
    return this.known.clockMs + (this.timers.nowMs() - this.known.atMs) / this.maxRateRatio
  }
}

/** Time since the object was created, as the larger of two clocks' values: the monotonic clock stops while a VM is suspended, and the wall clock may step. */
export class Age {
  private readonly monotonicMs: number
  private readonly wallMs: number

  constructor (private readonly timers: settings.Timers) {
    this.monotonicMs = timers.nowMs()
    this.wallMs = timers.wallClockMs()
  }

  /** Age in milliseconds. */
  get ms (): number {
    return Math.max(this.timers.nowMs() - this.monotonicMs, this.timers.wallClockMs() - this.wallMs)
  }
}

/** Difference between the advance of the wall clock and of the monotonic clock from which the VM counts as suspended, in milliseconds. Smaller ones come from rounding and clock adjustment. */
const MIN_SUSPENSION_MS = 50

/** Monotonic clock that also counts the time for which the VM was suspended. A forward step of the wall clock can't be told from a suspension and counts as one. */
export class ElapsedClock {
  private suspendedMs = 0
  private wallOffsetMs: number

  constructor (private readonly timers: settings.Timers) {
    this.wallOffsetMs = this.readWallOffsetMs()
  }

  /** Time in milliseconds. It never goes back. */
  nowMs (): number {
    const offsetMs = this.readWallOffsetMs()
    const advanceMs = offsetMs - this.wallOffsetMs
    if (Math.abs(advanceMs) > MIN_SUSPENSION_MS) {
      this.wallOffsetMs = offsetMs
      this.suspendedMs += Math.max(0, advanceMs)
    }
    return this.timers.nowMs() + this.suspendedMs
  }

  private readWallOffsetMs (): number {
    return this.timers.wallClockMs() - this.timers.nowMs()
  }
}
