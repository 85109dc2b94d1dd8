/** This entry's stream to another entry, on which requests are matched with their answers. */
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { events } from '../events.ts'
import type { PeerServices } from './services.ts'

type PeerResult<T> = results.Result<T, protocol.StepError>
type FrameListener = (frame: PeerResult<protocol.wire.IPeerFrame>) => void

const RECONNECT_MS = 200

/** Keeps a stream to one entry open and reconnects after it ends, until `stop`. */
export class PeerLink {
  /** The hello of the entry that the open stream leads to; undefined while there is none. */
  hello: protocol.wire.IEntryHello | undefined
  private outbox: runtime.Outbox<protocol.wire.IPeerFrame> | undefined
  private dialed: runtime.DialedLink<protocol.wire.PeerFrame, protocol.wire.IPeerFrame> | undefined
  private readonly stopping = new AbortController()
  private readonly pending = new Map<number, FrameListener>()
  private nextRequestId = 1

  constructor (readonly address: string, private readonly services: PeerServices) {}

  /** Runs the reconnect loop; resolves after `stop`. */
  async run (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.exchange()
      await this.services.timers.sleep(RECONNECT_MS, this.stopping.signal)
    }
  }

  stop (): void {
    this.stopping.abort()
    this.dialed?.close()
  }

  /** Sends a submission, a look-up or a cancellation. Fails with Unavailable if the stream is closed or ends, with Timeout after `timeoutMs`. */
  async forward (forward: protocol.wire.IForward, timeoutMs: number): Promise<PeerResult<protocol.wire.IForwardAnswer>> {
    const answer = await this.request(requestId => ({ forward: { ...forward, requestId } }), timeoutMs)
    return answer.map(frame => frame.forwardAnswer ?? {})
  }

  /** Requests a peer lease (during which the other entry takes over none of this entry's partitions) or the release of a member. Fails as `forward` does. */
  async requestPeerLease (request: protocol.wire.IPromiseRequest, timeoutMs: number): Promise<PeerResult<protocol.wire.IStorePromise>> {
    const answer = await this.request(sequence => ({ promiseRequest: { ...request, sequence } }), timeoutMs)
    return answer.map(frame => frame.promise ?? {})
  }

  private async request (createFrame: (requestId: number) => protocol.wire.IPeerFrame, timeoutMs: number): Promise<PeerResult<protocol.wire.IPeerFrame>> {
    if (this.hello === undefined || this.outbox === undefined) return results.Err(this.createError(protocol.ErrorCode.Unavailable, 'no stream to the entry'))
    const { outbox } = this
    const requestId = this.nextRequestId++
    return await new Promise(resolve => {
      const timer: settings.TimerHandle = this.services.timers.after(timeoutMs, () => {
        this.pending.delete(requestId)
        resolve(results.Err(this.createError(protocol.ErrorCode.Timeout, 'no answer in time')))
      })
      this.pending.set(requestId, frame => {
        timer.cancel()
        resolve(frame)
      })
      outbox.send(createFrame(requestId))
    })
  }

  private async exchange (): Promise<void> {
    const dialed = runtime.dialLink(this.address, protocol.peerLink.exchange, this.services.tls)
    this.dialed = dialed
    const outbox = new runtime.Outbox<protocol.wire.IPeerFrame>(dialed.stream)
    this.outbox = outbox
    outbox.send({ hello: this.services.createHello() })
    let reason = 'ended by the entry'
    try {
      for await (const frame of dialed.stream) this.receive(frame, outbox)
    } catch (thrown) {
      reason = protocol.toStepError(thrown, 'peer.read', this.address).describe()
    }
    dialed.close()
    this.close(outbox, reason)
  }

  private receive (frame: protocol.wire.PeerFrame, outbox: runtime.Outbox<protocol.wire.IPeerFrame>): void {
    if (frame.hello != null) {
      this.hello = frame.hello
      this.services.log.event(events.PeerConnected, { peer: this.address, entryId: frame.hello.entryId ?? '' })
      this.services.onOpen(frame.hello, sent => { outbox.send(sent) })
    }
    this.services.onFrame(this.hello, frame)
    const requestId = frame.forwardAnswer?.requestId ?? frame.promise?.sequence
    if (requestId == null) return
    this.pending.get(requestId)?.(results.Ok(frame))
    this.pending.delete(requestId)
  }

  private close (outbox: runtime.Outbox<protocol.wire.IPeerFrame>, reason: string): void {
    outbox.close()
    this.outbox = undefined
    if (this.hello !== undefined) {
      this.services.log.event(events.PeerDisconnected, { peer: this.address, step: 'peer.read', reason })
      this.services.onClosed(this.hello)
    }
    this.hello = undefined
    const listeners = [...this.pending.values()]
    this.pending.clear()
    for (const listener of listeners) listener(results.Err(this.createError(protocol.ErrorCode.Unavailable, reason)))
  }

  private createError (code: protocol.ErrorCode, message: string): protocol.StepError {
    return new protocol.StepError(code, 'peer.request', this.address, message)
  }
}
