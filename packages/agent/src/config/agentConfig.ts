/** The configuration in force on an agent. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { EntryLink } from '../links/entryLink.ts'

const { NodeKind } = protocol.wire

/** Stores the configuration received from the entries and reports to them which versions are in force on this agent. */
export class AgentConfig {
  readonly registry: config.ConfigRegistry
  private readonly propagator: config.ConfigPropagator
  private readonly sessions = new Map<EntryLink, config.ConfigSession>()

  constructor (self: config.NodeIdentity, services: { timers: settings.Timers, log: settings.Log }) {
    this.registry = new config.ConfigRegistry(services.log)
    this.propagator = new config.ConfigPropagator(self, this.registry, services)
  }

  /** Handles a message from an entry if it concerns the configuration. */
  receive (link: EntryLink, message: protocol.wire.IEntryToAgent): void {
    if (message.hello != null) this.open(link, message.hello)
    const session = this.sessions.get(link)
    if (session === undefined) return
    if (message.config != null) session.handleDelta(message.config)
    if (message.want != null) session.handleWant(message.want)
  }

  /** Ends the configuration session of an entry whose stream has ended. */
  close (link: EntryLink): void {
    this.sessions.get(link)?.detach(false)
    this.sessions.delete(link)
  }

  stop (): void {
    this.propagator.stop()
  }

  private open (link: EntryLink, hello: protocol.wire.IEntryHello): void {
    this.close(link)
    const identity: config.NodeIdentity = {
      nodeId: hello.entryId ?? '',
      incarnation: hello.incarnation ?? '',
      kind: NodeKind.NODE_KIND_ENTRY,
      region: hello.region ?? '',
      failureDomain: hello.failureDomain ?? ''
    }
    const channel = config.createEntryChannel(message => { link.send(message) })
    this.sessions.set(link, this.propagator.attach(identity, channel, hello.versions ?? []))
  }
}
