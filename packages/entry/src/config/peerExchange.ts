/** Configuration exchange on a stream between two entries. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'

/** Handles the configuration messages of another entry. */
export class PeerConfigExchange {
  private readonly session: config.ConfigSession

  constructor (propagator: config.ConfigPropagator, hello: protocol.wire.IEntryHello, send: (frame: protocol.wire.IPeerFrame) => void) {
    const identity: config.NodeIdentity = {
      nodeId: hello.entryId ?? '',
      incarnation: hello.incarnation ?? '',
      kind: protocol.wire.NodeKind.NODE_KIND_ENTRY,
      region: hello.region ?? '',
      failureDomain: hello.failureDomain ?? ''
    }
    this.session = propagator.attach(identity, config.createPeerChannel(send), hello.versions ?? [])
  }

  /** Handles the configuration part of a frame. */
  receive (frame: protocol.wire.IPeerFrame): void {
    if (frame.versions != null) this.session.handleVersions(frame.versions)
    if (frame.config != null) this.session.handleDelta(frame.config)
    if (frame.want != null) this.session.handleWant(frame.want)
    if (frame.fleet != null) this.session.handleFleet(frame.fleet)
  }

  /** Ends the exchange, as after a broken stream. */
  close (): void {
    this.session.detach(false)
  }
}
