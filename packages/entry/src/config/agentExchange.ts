/** Configuration exchange on an agent's stream. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'

const { NodeKind } = protocol.wire

/** Handles the configuration messages of one agent. */
export class AgentConfigExchange {
  private readonly session: config.ConfigSession

  constructor (
    private readonly propagator: config.ConfigPropagator,
    private readonly identity: config.NodeIdentity,
    versions: readonly protocol.wire.ITeamVersion[],
    send: (message: protocol.wire.IEntryToAgent) => void
  ) {
    this.session = propagator.attach(identity, config.createAgentChannel(send), versions)
  }

  /** Handles the configuration part of a message, and records the contact and any reported load in the fleet view. */
  handleMessage (message: protocol.wire.IAgentToEntry): void {
    if (message.versions != null) this.session.handleVersions(message.versions)
    if (message.config != null) this.session.handleDelta(message.config)
    if (message.want != null) this.session.handleWant(message.want)
    this.propagator.fleet.recordContact(this.identity, message.report?.load ?? undefined)
  }

  /** Ends the exchange. `isPlanned` is true after a goodbye, and false if the stream broke. */
  close (isPlanned: boolean): void {
    this.session.detach(isPlanned)
  }
}

/** Creates the exchange for an agent from its hello message. */
export function createAgentExchange (
  propagator: config.ConfigPropagator,
  hello: protocol.wire.IAgentHello,
  send: (message: protocol.wire.IEntryToAgent) => void
): AgentConfigExchange {
  const identity: config.NodeIdentity = {
    nodeId: hello.agentId ?? '',
    incarnation: hello.incarnation ?? '',
    kind: NodeKind.NODE_KIND_AGENT,
    region: hello.region ?? '',
    failureDomain: hello.failureDomain ?? ''
  }
  return new AgentConfigExchange(propagator, identity, hello.versions ?? [], send)
}
