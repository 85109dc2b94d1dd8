/** Simulated time, and clocks of simulated nodes that can be paused, killed and set off from true time. */
import type * as settings from '@egretvalve/settings'

interface Event {
  dueMs: number
  sequence: number
  isCancelled: boolean
  callback: () => void
}

/** Time of day at which simulations begin. */
export const EPOCH_MS = 1_700_000_000_000

/** Runs events in order of time. */
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

  /** Runs all events until a time, letting promises settle in between. */
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

/** The list is sorted so that the next event is the last one. */
function isAfter (event: Event, other: Event): boolean {
  return event.dueMs > other.dueMs || (event.dueMs === other.dueMs && event.sequence > other.sequence)
}

async function settle (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}

/** The clocks of one node. While the node is paused its callbacks wait. */
export class NodeClock implements settings.Timers {
  isDead = false
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

  /** Runs a callback on the node: now, or when it resumes, or never. */
  run (callback: () => void): void {
    if (this.isDead) return
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

/** One sleep: ends with its time or with its signal. */
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
