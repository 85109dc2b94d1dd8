/** Serves the streams that other entries open: forwarded work and requests for peer leases. */
import { setMaxListeners } from 'node:events'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import type { PeerServices, SendFrame } from './services.ts'

type PeerStream = runtime.LinkStream<protocol.wire.PeerFrame, protocol.wire.IPeerFrame>

/** Handlers of other entries' requests. */
export interface PeerHandlers {
  /** Handles forwarded work as the owner of its partition; `signal` aborts when the stream ends. */
  handleForward: (forward: protocol.wire.IForward, signal: AbortSignal) => Promise<protocol.wire.IForwardAnswer>
  /** Grants or denies the other entry a peer lease, during which this entry takes over none of its partitions. Also answers requests for a member's release. */
  handlePeerLeaseRequest: (fromIncarnation: string, request: protocol.wire.IPromiseRequest) => protocol.wire.IStorePromise
}

/** Creates the handler of accepted streams. Frames before the other entry's hello are ignored. */
export function createPeerServer (handlers: PeerHandlers, services: PeerServices): runtime.LinkHandler<protocol.wire.PeerFrame, protocol.wire.IPeerFrame> {
  async function serve (stream: PeerStream): Promise<void> {
    const outbox = new runtime.Outbox<protocol.wire.IPeerFrame>(stream)
    const send: SendFrame = frame => { outbox.send(frame) }
    const closed = new AbortController()
    // Each waiting forwarded call adds one listener and their number is not limited here, so the listener-leak warning is turned off.
    setMaxListeners(0, closed.signal)
    let hello: protocol.wire.IEntryHello | undefined
    send({ hello: services.createHello() })
    try {
      for await (const frame of stream) {
        if (frame.hello != null) {
          hello = frame.hello
          services.onOpen(hello, send)
        }
        if (hello === undefined) continue
        services.onFrame(hello, frame)
        if (frame.promiseRequest != null) send({ promise: handlers.handlePeerLeaseRequest(hello.incarnation ?? '', frame.promiseRequest) })
        if (frame.forward != null) answerForward(frame.forward, send, closed.signal)
      }
    } finally {
      closed.abort()
      outbox.close()
      if (hello !== undefined) services.onClosed(hello)
    }
  }

  /** Sends the answer when the work has ended, without blocking other frames. A failure is answered as not owned. */
  function answerForward (forward: protocol.wire.IForward, send: SendFrame, signal: AbortSignal): void {
    handlers.handleForward(forward, signal).then(answer => {
      send({ forwardAnswer: { ...answer, requestId: forward.requestId } })
    }, () => {
      send({ forwardAnswer: { requestId: forward.requestId, notOwner: true } })
    })
  }

  return serve
}
