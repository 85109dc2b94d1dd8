/** The exchange of configuration over one agent's stream. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'

const { NodeKind } = protocol.wire

/** Takes the configuration messages of one agent. */
export class AgentConfigExchange {
  private readonly session: config.ConfigSession

  constructor (
    private readonly spreader: config.ConfigSpreader,
    private readonly identity: config.NodeIdentity,
    versions: readonly protocol.wire.ITeamVersion[],
    send: (message: protocol.wire.IEntryToAgent) => void
  ) {
    this.session = spreader.attach(identity, config.createAgentChannel(send), versions)
  }

  /** Handles a message if it concerns the configuration or shows the agent's load. */
  receive (message: protocol.wire.IAgentToEntry): void {
    if (message.versions != null) this.session.handleVersions(message.versions)
    if (message.config != null) this.session.handleDelta(message.config)
    if (message.want != null) this.session.handleWant(message.want)
    this.spreader.fleet.hear(this.identity, message.report?.load ?? undefined)
  }

  /** Ends the exchange. `planned` tells a goodbye from a broken stream. */
  close (planned: boolean): void {
    this.session.detach(planned)
  }
}

/** Creates the exchange for an agent that greeted. */
export function createAgentExchange (
  spreader: config.ConfigSpreader,
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
  return new AgentConfigExchange(spreader, identity, hello.versions ?? [], send)
}
