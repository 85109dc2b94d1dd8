/** In-process fleet: entries and agents that exchange configuration over links with a delay, which a test can break. */
import * as config from '@egretvalve/config'
import type * as platform from '@egretvalve/platform'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'

const { NodeKind } = protocol.wire
const STEP_MS = 10

/** Advances fake time in steps of `STEP_MS` and lets promises settle after each step. */
export async function advanceTime (timers: settings.FakeTimers, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    await new Promise(resolve => { setImmediate(resolve) })
    timers.advance(STEP_MS)
  }
  await new Promise(resolve => { setImmediate(resolve) })
}

/** Advances fake time until a promise settles. */
export async function awaitWithTime<T> (timers: settings.FakeTimers, promise: Promise<T>): Promise<T> {
  const state = { isDone: false }
  const finish = (): void => { state.isDone = true }
  promise.then(finish, finish)
  while (!state.isDone) await advanceTime(timers, STEP_MS)
  return await promise
}

/** Traffic that one node sent over all of its links. */
export interface Traffic {
  bytes: number
  messages: number
}

/** A node of the test fleet. */
export interface FleetNode {
  identity: config.NodeIdentity
  registry: config.ConfigRegistry
  propagator: config.ConfigPropagator
  traffic: Traffic
  entryConfig?: config.EntryConfig
}

/** A link between two nodes. */
export interface FleetLink {
  /** Closes the link; `planned` as after a goodbye, otherwise as when the link breaks. */
  close: (planned: boolean) => void
}

let incarnationCount = 0

/** Creates a node identity; each call returns a later incarnation. */
export function createIdentity (nodeId: string, kind: protocol.wire.NodeKind, failureDomain: string): config.NodeIdentity {
  incarnationCount++
  return { nodeId, incarnation: String(incarnationCount).padStart(8, '0'), kind, region: 'gr-attica', failureDomain }
}

/** Creates and starts an entry. */
export function createFleetEntry (nodeId: string, failureDomain: string, store: platform.Store, timers: settings.Timers): FleetNode {
  const identity = createIdentity(nodeId, NodeKind.NODE_KIND_ENTRY, failureDomain)
  const entryConfig = new config.EntryConfig(identity, { store, timers, log: settings.createSilentLog() })
  entryConfig.start()
  return { identity, registry: entryConfig.registry, propagator: entryConfig.propagator, traffic: { bytes: 0, messages: 0 }, entryConfig }
}

export function createFleetAgent (nodeId: string, failureDomain: string, timers: settings.Timers): FleetNode {
  const identity = createIdentity(nodeId, NodeKind.NODE_KIND_AGENT, failureDomain)
  const registry = new config.ConfigRegistry(settings.createSilentLog())
  const propagator = new config.ConfigPropagator(identity, registry, { timers, log: settings.createSilentLog() })
  return { identity, registry, propagator, traffic: { bytes: 0, messages: 0 } }
}

/** Links two nodes. Each message is encoded, delayed by `delayMs` and decoded. */
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
    sessions.left = left.propagator.attach(right.identity, toRight, rightVersions)
    sessions.right = right.propagator.attach(left.identity, toLeft, leftVersions)
  })
  return {
    close: planned => {
      isOpen = false
      sessions.left?.detach(planned)
      sessions.right?.detach(planned)
    }
  }
}

/** Creates a channel; to an agent it can't send versions, as the link from an entry to an agent has no such message. */
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
