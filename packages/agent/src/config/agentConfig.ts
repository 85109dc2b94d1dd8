/** The configuration in force on an agent. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import type * as settings from '@egretvalve/settings'
import type { EntryLink } from '../links/entryLink.ts'

const { NodeKind } = protocol.wire

/** Keeps what the entries pass on and tells them which versions are in force here. */
export class AgentConfig {
  readonly registry: config.ConfigRegistry
  private readonly spreader: config.ConfigSpreader
  private readonly sessions = new Map<EntryLink, config.ConfigSession>()

  constructor (self: config.NodeIdentity, services: { timers: settings.Timers, log: settings.Log }) {
    this.registry = new config.ConfigRegistry(services.log)
    this.spreader = new config.ConfigSpreader(self, this.registry, services)
  }

  /** Handles a message of an entry if it concerns the configuration. */
  receive (link: EntryLink, message: protocol.wire.IEntryToAgent): void {
    if (message.hello != null) this.open(link, message.hello)
    const session = this.sessions.get(link)
    if (session === undefined) return
    if (message.config != null) session.handleDelta(message.config)
    if (message.want != null) session.handleWant(message.want)
  }

  /** Ends the exchange with an entry whose stream ended. */
  close (link: EntryLink): void {
    this.sessions.get(link)?.detach(false)
    this.sessions.delete(link)
  }

  stop (): void {
    this.spreader.stop()
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
    this.sessions.set(link, this.spreader.attach(identity, channel, hello.versions ?? []))
  }
}
