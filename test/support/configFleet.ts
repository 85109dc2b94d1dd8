/** Entries and agents in one process that exchange configuration over links whose faults a test chooses. */
import * as config from '@egretvalve/config'
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'

const { NodeKind } = protocol.wire
const STEP_MS = 10

/** Moves fake time forward in small steps and lets promises settle in between. */
export async function passTime (timers: settings.FakeTimers, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    await new Promise(resolve => { setImmediate(resolve) })
    timers.advance(STEP_MS)
  }
  await new Promise(resolve => { setImmediate(resolve) })
}

/** Waits for a promise while fake time passes. */
export async function awaitWithTime<T> (timers: settings.FakeTimers, promise: Promise<T>): Promise<T> {
  const wait = { isDone: false }
  const finish = (): void => { wait.isDone = true }
  promise.then(finish, finish)
  while (!wait.isDone) await passTime(timers, STEP_MS)
  return await promise
}

/** Bytes sent over all links by one node. */
export interface Traffic {
  bytes: number
  messages: number
}

/** A node of the test fleet. */
export interface FleetNode {
  identity: config.NodeIdentity
  registry: config.ConfigRegistry
  spreader: config.ConfigSpreader
  traffic: Traffic
  entryConfig?: config.EntryConfig
}

/** A link between two nodes. */
export interface FleetLink {
  /** Breaks the link; planned as with a goodbye. */
  close: (planned: boolean) => void
}

let lives = 0

/** Creates who a node is; each call is a later life. */
export function createIdentity (nodeId: string, kind: protocol.wire.NodeKind, failureDomain: string): config.NodeIdentity {
  lives++
  return { nodeId, incarnation: String(lives).padStart(8, '0'), kind, region: 'gr-attica', failureDomain }
}

/** Creates and starts an entry. */
export function createFleetEntry (nodeId: string, failureDomain: string, store: platform.Store, timers: settings.Timers): FleetNode {
  const identity = createIdentity(nodeId, NodeKind.NODE_KIND_ENTRY, failureDomain)
  const entryConfig = new config.EntryConfig(identity, { store, timers, log: settings.createSilentLog() })
  entryConfig.start()
  return { identity, registry: entryConfig.registry, spreader: entryConfig.spreader, traffic: { bytes: 0, messages: 0 }, entryConfig }
}

/** Creates an agent. */
export function createFleetAgent (nodeId: string, failureDomain: string, timers: settings.Timers): FleetNode {
  const identity = createIdentity(nodeId, NodeKind.NODE_KIND_AGENT, failureDomain)
  const registry = new config.ConfigRegistry(settings.createSilentLog())
  const spreader = new config.ConfigSpreader(identity, registry, { timers, log: settings.createSilentLog() })
  return { identity, registry, spreader, traffic: { bytes: 0, messages: 0 } }
}

/** Links two nodes; every message is encoded, delayed and decoded. */
export function linkNodes (left: FleetNode, right: FleetNode, timers: settings.Timers, delayMs: number): FleetLink {
  let isOpen = true
  const sessions: { left?: config.ConfigSession, right?: config.ConfigSession } = {}
  const createSender = (from: FleetNode, target: () => config.ConfigSession | undefined) => (frame: protocol.wire.IPeerFrame): void => {
    const bytes = protocol.wire.PeerFrame.encode(frame).finish()
    from.traffic.bytes += bytes.length
    from.traffic.messages++
    timers.after(delayMs, () => {
      const session = target()
      if (isOpen && session !== undefined) deliver(session, protocol.wire.PeerFrame.decode(bytes))
    })
  }
  const toRight = createChannel(createSender(left, () => sessions.right), right)
  const toLeft = createChannel(createSender(right, () => sessions.left), left)
  const leftVersions = left.registry.versions()
  const rightVersions = right.registry.versions()
  timers.after(delayMs, () => {
    if (!isOpen) return
    sessions.left = left.spreader.attach(right.identity, toRight, rightVersions)
    sessions.right = right.spreader.attach(left.identity, toLeft, leftVersions)
  })
  return {
    close: planned => {
      isOpen = false
      sessions.left?.detach(planned)
      sessions.right?.detach(planned)
    }
  }
}

/** An entry tells agents no versions: the link between them has no such message. */
function createChannel (send: (frame: protocol.wire.IPeerFrame) => void, target: FleetNode): config.ConfigChannel {
  const channel = config.createPeerChannel(send)
  if (target.identity.kind === NodeKind.NODE_KIND_AGENT) delete channel.sendVersions
  return channel
}

function deliver (session: config.ConfigSession, frame: protocol.wire.PeerFrame): void {
  if (frame.config !== null && frame.config !== undefined) session.handleDelta(frame.config)
  else if (frame.versions !== null && frame.versions !== undefined) session.handleVersions(frame.versions)
  else if (frame.want !== null && frame.want !== undefined) session.handleWant(frame.want)
  else if (frame.fleet !== null && frame.fleet !== undefined) session.handleFleet(frame.fleet)
}
