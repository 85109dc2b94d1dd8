/** Services and callbacks that the streams between entries require. */
import type * as protocol from '@egretvalve/protocol'
import type * as runtime from '@egretvalve/runtime'
import type * as settings from '@egretvalve/settings'

/** Sends a frame on a stream. */
export type SendFrame = (frame: protocol.wire.IPeerFrame) => void

export interface PeerServices {
  timers: settings.Timers
  log: settings.Log
  tls: runtime.LinkTls | undefined
  createHello: () => protocol.wire.IEntryHello
  /** Called when the other entry's hello has arrived. */
  onOpen: (hello: protocol.wire.IEntryHello, send: SendFrame) => void
  /** Called for every frame; `hello` is undefined until the other entry's hello has arrived. */
  onFrame: (hello: protocol.wire.IEntryHello | undefined, frame: protocol.wire.IPeerFrame) => void
  /** Called when a stream on which a hello had arrived has ended. */
  onClosed: (hello: protocol.wire.IEntryHello) => void
}
