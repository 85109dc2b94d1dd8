/** A bidirectional stream between two simulated processes, whose ways can be slow or silent, and which can be reset. */
import type * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import type { SimulatedProcess } from './simulatedProcess.ts'

/** What travels on one way of a link. The end of a stream is read after the messages before it. */
type Item = { kind: 'message', bytes: Buffer } | { kind: 'end' } | { kind: 'broken' }

/** The state of one way, in order of sending. */
interface Way {
  readonly receiver: SimulatedProcess
  readonly deliver: (item: Item) => void
  isSilent: boolean
  extraDelayMs: number
  lastDueMs: number
  /** Items that arrived while the way was silent. */
  held: Item[]
  isReset: boolean
}

/** One end of a link. */
export class SimulatedStream<In, Out> implements runtime.LinkStream<In, Out> {
  private readonly arrived: Item[] = []
  private wake: (() => void) | undefined
  private isClosed = false
  private readonly closeListeners: Array<() => void> = []

  constructor (private readonly send: (item: Item) => void, private readonly serialize: (message: Out) => Buffer, private readonly deserialize: (bytes: Buffer) => In) {}

  receive (item: Item): void {
    if (this.isClosed) return
    this.arrived.push(item)
    this.wake?.()
  }

  write (message: Out): boolean {
    if (!this.isClosed) this.send({ kind: 'message', bytes: this.serialize(message) })
    return true
  }

  once (event: 'drain' | 'close', listener: () => void): void {
    if (event === 'close') this.closeListeners.push(listener)
  }

  on (): void {}

  end (): void {
    if (!this.isClosed) this.send({ kind: 'end' })
  }

  destroy (): void {
    if (this.isClosed) return
    this.send({ kind: 'broken' })
    this.arrived.length = 0
    this.arrived.push({ kind: 'broken' })
    this.close()
    this.wake?.()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<In> {
    for (;;) {
      const item = this.arrived.shift()
      if (item === undefined) {
        await new Promise<void>(resolve => { this.wake = resolve })
        this.wake = undefined
        continue
      }
      switch (item.kind) {
        case 'message':
          yield this.deserialize(item.bytes)
          break
        case 'end':
          this.close()
          return
        case 'broken':
          this.close()
          throw new Error('stream is broken')
      }
    }
  }

  private close (): void {
    this.isClosed = true
    for (const listener of this.closeListeners.splice(0)) listener()
  }
}

/** The messages of a method, from the side that dials and from the side that accepts. */
export interface LinkMethod<FromDialer, ToAcceptor, FromAcceptor, ToDialer> {
  requestSerialize: (message: FromDialer) => Buffer
  requestDeserialize: (bytes: Buffer) => ToAcceptor
  responseSerialize: (message: FromAcceptor) => Buffer
  responseDeserialize: (bytes: Buffer) => ToDialer
}

/** A link that one process has dialled to another. */
export class SimulatedLink<FromDialer, ToAcceptor, FromAcceptor, ToDialer> {
  readonly dialer: SimulatedStream<ToDialer, FromDialer>
  readonly acceptor: SimulatedStream<ToAcceptor, FromAcceptor>
  private readonly toAcceptor: Way
  private readonly toDialer: Way

  constructor (
    readonly dialingProcess: SimulatedProcess,
    readonly acceptingProcess: SimulatedProcess,
    method: LinkMethod<FromDialer, ToAcceptor, FromAcceptor, ToDialer>,
    private readonly timers: settings.Timers,
    private readonly drawDelayMs: () => number
  ) {
    this.toAcceptor = this.createWay(acceptingProcess, item => { this.acceptor.receive(item) })
    this.toDialer = this.createWay(dialingProcess, item => { this.dialer.receive(item) })
    this.dialer = new SimulatedStream(item => { this.transmit(this.toAcceptor, item) }, method.requestSerialize, method.responseDeserialize)
    this.acceptor = new SimulatedStream(item => { this.transmit(this.toDialer, item) }, method.responseSerialize, method.requestDeserialize)
  }

  /** Lets both ways hold back what arrives, or deliver it again, in order. */
  setSilent (toAcceptor: boolean, toDialer: boolean): void {
    this.setWaySilent(this.toAcceptor, toAcceptor)
    this.setWaySilent(this.toDialer, toDialer)
  }

  setExtraDelay (delayMs: number): void {
    this.toAcceptor.extraDelayMs = delayMs
    this.toDialer.extraDelayMs = delayMs
  }

  /** Breaks the link at both ends. What is under way is lost. */
  reset (): void {
    for (const way of [this.toAcceptor, this.toDialer]) {
      if (way.isReset) continue
      way.isReset = true
      way.held = []
      way.receiver.read(() => { way.deliver({ kind: 'broken' }) })
    }
  }

  /** Breaks the link because a process has ended. What it has sent before arrives. */
  handleProcessEnd (ended: SimulatedProcess): void {
    this.transmit(ended === this.dialingProcess ? this.toAcceptor : this.toDialer, { kind: 'broken' })
  }

  private createWay (receiver: SimulatedProcess, deliver: (item: Item) => void): Way {
    return { receiver, deliver, isSilent: false, extraDelayMs: 0, lastDueMs: 0, held: [], isReset: false }
  }

  private transmit (way: Way, item: Item): void {
    const nowMs = this.timers.nowMs()
    way.lastDueMs = Math.max(way.lastDueMs, nowMs + this.drawDelayMs() + way.extraDelayMs)
    this.timers.after(way.lastDueMs - nowMs, () => {
      if (way.isSilent) way.held.push(item)
      else this.arrive(way, item)
    })
  }

  private arrive (way: Way, item: Item): void {
    if (!way.isReset) way.receiver.read(() => { way.deliver(item) })
  }

  private setWaySilent (way: Way, isSilent: boolean): void {
    way.isSilent = isSilent
    if (!isSilent) for (const item of way.held.splice(0)) this.arrive(way, item)
  }
}
