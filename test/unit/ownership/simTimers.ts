/** Simulated time, and clocks of simulated nodes that can be paused, stopped and offset from the simulated time. */
import type * as settings from '@egretvalve/settings'

interface Event {
  dueMs: number
  sequence: number
  isCancelled: boolean
  callback: () => void
}

/** Wall-clock time at which simulations begin. */
export const EPOCH_MS = 1_700_000_000_000

/** An event queue in order of time. */
export class SimTime {
  nowMs = 0
  private sequence = 0
  private readonly events: Event[] = []

  schedule (delayMs: number, callback: () => void): settings.TimerHandle {
    const event: Event = { dueMs: this.nowMs + Math.max(0, delayMs), sequence: this.sequence++, isCancelled: false, callback }
    let index = this.events.length
    while (index > 0 && isAfter(event, this.events[index - 1]!)) index--
    this.events.splice(index, 0, event)
    return { cancel: () => { event.isCancelled = true } }
  }

  /** Runs all events up to a time; pending JavaScript promises are settled after each event. */
  async runUntil (endMs: number): Promise<void> {
    await settle()
    while (this.events.length > 0 && this.events[this.events.length - 1]!.dueMs <= endMs) {
      const event = this.events.pop()!
      if (event.isCancelled) continue
      this.nowMs = event.dueMs
      event.callback()
      await settle()
    }
    this.nowMs = endMs
  }
}

/** Order of the queue: the next event is the last one, which is cheap to remove. */
function isAfter (event: Event, other: Event): boolean {
  return event.dueMs > other.dueMs || (event.dueMs === other.dueMs && event.sequence > other.sequence)
}

async function settle (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}

/** The clocks and timers of one node. Callbacks of a paused node are deferred until it resumes; those of a stopped node never run. */
export class NodeClock implements settings.Timers {
  isStopped = false
  private isPaused = false
  private readonly deferred: Array<() => void> = []

  constructor (readonly time: SimTime, private readonly wallOffsetMs: number) {}

  nowMs (): number {
    return this.time.nowMs
  }

  wallClockMs (): number {
    return EPOCH_MS + this.time.nowMs + this.wallOffsetMs
  }

  after (delayMs: number, callback: () => void): settings.TimerHandle {
    let isCancelled = false
    const handle = this.time.schedule(delayMs, () => {
      this.run(() => { if (!isCancelled) callback() })
    })
    return { cancel: () => { isCancelled = true; handle.cancel() } }
  }

  every (periodMs: number, callback: () => void): settings.TimerHandle {
    let handle = this.after(periodMs, repeat.bind(this))
    function repeat (this: NodeClock): void {
      handle = this.after(periodMs, repeat.bind(this))
      callback()
    }
    return { cancel: () => { handle.cancel() } }
  }

  async sleep (delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>(resolve => {
      const sleeper = new Sleeper(this, resolve, signal)
      sleeper.handle = this.after(delayMs, () => { sleeper.end() })
      signal?.addEventListener('abort', sleeper)
    })
  }

  /** Runs a callback now, or on resume if the node is paused, or never if it is stopped. */
  run (callback: () => void): void {
    if (this.isStopped) return
    if (this.isPaused) this.deferred.push(callback)
    else callback()
  }

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    for (const callback of this.deferred.splice(0)) callback()
  }
}

/** One sleep, which ends when its time has passed or its signal aborts. */
class Sleeper {
  handle: settings.TimerHandle | undefined

  constructor (private readonly clock: NodeClock, private readonly resolve: () => void, private readonly signal: AbortSignal | undefined) {}

  /** Called when the signal aborts. */
  handleEvent (): void {
    this.handle?.cancel()
    this.clock.run(() => { this.end() })
  }

  end (): void {
    this.signal?.removeEventListener('abort', this)
    this.resolve()
  }
}
