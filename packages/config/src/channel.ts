/** Channels that carry configuration messages over the links between nodes. */
import type * as protocol from '@egretvalve/protocol'

/** Sends configuration messages to one node. */
export interface ConfigChannel {
  /** Sends documents. */
  sendDelta: (delta: protocol.wire.IConfigDelta) => void
  /** Requests documents. */
  sendWant: (want: protocol.wire.IConfigVersions) => void
  /** Reports the versions in force on this node. Absent where the link has no such message. */
  sendVersions?: (versions: protocol.wire.IConfigVersions) => void
  /** Sends a fleet report or a request for one; between entries only. */
  sendFleet?: (fleet: protocol.wire.IFleetVersions) => void
}

/** Creates the channel from an entry to another entry. */
export function createPeerChannel (send: (frame: protocol.wire.IPeerFrame) => void): ConfigChannel {
  return {
    sendDelta: config => { send({ config }) },
    sendWant: want => { send({ want }) },
    sendVersions: versions => { send({ versions }) },
    sendFleet: fleet => { send({ fleet }) }
  }
}

/** Creates the channel from an entry to an agent. */
export function createAgentChannel (send: (message: protocol.wire.IEntryToAgent) => void): ConfigChannel {
  return {
    sendDelta: config => { send({ config }) },
    sendWant: want => { send({ want }) }
  }
}

/** Creates the channel from an agent to an entry. */
export function createEntryChannel (send: (message: protocol.wire.IAgentToEntry) => void): ConfigChannel {
  return {
    sendDelta: config => { send({ config }) },
    sendWant: want => { send({ want }) },
    sendVersions: versions => { send({ versions }) }
  }
}
