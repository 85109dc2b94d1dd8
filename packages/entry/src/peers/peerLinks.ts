/** This entry's streams to the other members of the assignment. */
import * as net from 'node:net'
import type * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import * as runtime from '@egretvalve/runtime'
import * as results from 'ts-results'
import { PeerLink } from './peerLink.ts'
import type { PeerServices } from './services.ts'

/** Keeps one stream open to each other member's incarnation. */
export class PeerLinks implements ownership.PeerLeaseTransport {
  private readonly links = new Map<string, PeerLink>()

  constructor (private readonly services: PeerServices) {}

  /** Opens streams to new members and closes those to removed members. */
  update (members: readonly ownership.Member[]): void {
    const incarnations = new Set(members.map(member => member.incarnation))
    for (const [incarnation, link] of this.links) {
      if (incarnations.has(incarnation)) continue
      link.stop()
      this.links.delete(incarnation)
    }
    for (const member of members) {
      if (this.links.has(member.incarnation)) continue
      const link = new PeerLink(member.peerAddress, this.services)
      this.links.set(member.incarnation, link)
      link.run().catch(() => {})
    }
  }

  stop (): void {
    this.update([])
  }

  /** Returns true while the stream to this incarnation of the member is open. */
  isConnected (member: ownership.Member): boolean {
    return this.findLink(member) !== undefined
  }

  /** Sends a submission, a look-up or a cancellation to a member. Fails if no stream is open, the stream ends or the time-out expires. */
  async forward (member: ownership.Member, forward: protocol.wire.IForward, timeoutMs: number): Promise<results.Result<protocol.wire.IForwardAnswer, protocol.StepError>> {
    const link = this.findLink(member)
    if (link === undefined) return results.Err(createError(member))
    return await link.forward(forward, timeoutMs)
  }

  async request (member: ownership.Member, request: protocol.wire.IPromiseRequest, timeoutMs: number): Promise<results.Result<protocol.wire.IStorePromise, protocol.StepError>> {
    const link = this.findLink(member)
    if (link === undefined) return results.Err(createError(member))
    return await link.requestPeerLease(request, timeoutMs)
  }

  async hasExited (member: ownership.Member, timeoutMs: number): Promise<boolean> {
    const hello = this.links.get(member.incarnation)?.hello
    if (hello !== undefined) return hello.incarnation !== member.incarnation
    return await this.refusesConnections(member.peerAddress, timeoutMs)
  }

  /** Returns the open link to a member, or undefined if a later incarnation answers at its address. */
  private findLink (member: ownership.Member): PeerLink | undefined {
    const link = this.links.get(member.incarnation)
    return link?.hello?.incarnation === member.incarnation ? link : undefined
  }

  /** Returns true if the host refuses connections to the address, so no process listens there. No reply within the time-out is not a refusal. */
  private async refusesConnections (address: string, timeoutMs: number): Promise<boolean> {
    return await new Promise(resolve => {
      const socket = net.connect(runtime.parseAddress(address))
      const finish = (isRefused: boolean): void => {
        timer.cancel()
        socket.destroy()
        resolve(isRefused)
      }
      const timer = this.services.timers.after(timeoutMs, () => { finish(false) })
      socket.once('connect', () => { finish(false) })
      socket.once('error', (error: NodeJS.ErrnoException) => { finish(error.code === 'ECONNREFUSED') })
    })
  }
}

function createError (member: ownership.Member): protocol.StepError {
  return new protocol.StepError(protocol.ErrorCode.Unavailable, 'peer.request', member.peerAddress, 'no stream to the entry')
}
