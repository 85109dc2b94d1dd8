/** What streams between entries need of their entry. */
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
  /** Called when the other entry has greeted. */
  onOpen: (hello: protocol.wire.IEntryHello, send: SendFrame) => void
  /** Called for every frame. */
  onFrame: (hello: protocol.wire.IEntryHello | undefined, frame: protocol.wire.IPeerFrame) => void
  /** Called when a stream whose other side had greeted has ended. */
  onClosed: (hello: protocol.wire.IEntryHello) => void
}
