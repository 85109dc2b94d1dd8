/** Faults that a network proxy injects between two processes. */
import * as protocol from '@egretvalve/protocol'

export enum LinkFaultKind {
  None = 'none',
  /** Buffers the bytes of both directions. */
  CutBothWays = 'cut-both-ways',
  /** Buffers the bytes from client to target; the opposite direction still works. */
  CutToTarget = 'cut-to-target',
  /** Buffers the bytes from target to client; the opposite direction still works. */
  CutToClient = 'cut-to-client',
  /** Delays both directions by `delayMs`. */
  Delay = 'delay',
  /** Delays the bytes from target to client by `delayMs`; the opposite direction is not delayed. */
  DelayToClient = 'delay-to-client',
  /** Delivers half of the next bytes from target to client and buffers the rest; the opposite direction still works. */
  CutToClientMidway = 'cut-to-client-midway',
  /** Delivers the end of the client's stream `delayMs` after its last byte; the bytes are not delayed. */
  DelayEndToTarget = 'delay-end-to-target'
}

/** A fault of one connection, or of all connections of a proxy. `delayMs` is in milliseconds. */
export type LinkFault =
  | { kind: LinkFaultKind.None }
  | { kind: LinkFaultKind.CutBothWays }
  | { kind: LinkFaultKind.CutToTarget }
  | { kind: LinkFaultKind.CutToClient }
  | { kind: LinkFaultKind.Delay, delayMs: number }
  | { kind: LinkFaultKind.DelayToClient, delayMs: number }
  | { kind: LinkFaultKind.CutToClientMidway }
  | { kind: LinkFaultKind.DelayEndToTarget, delayMs: number }

/** Effect of a fault on one direction. */
export interface DirectionFault {
  /** Bytes are buffered and not delivered. */
  isCut: boolean
  /** The first half of the next chunk is delivered in spite of the cut. */
  isMidway?: boolean
  delayMs: number
  /** Time between the last byte and the end of the stream. */
  endDelayMs?: number
}

/** Effect of a fault on both directions of a connection. */
export interface LinkState {
  toTarget: DirectionFault
  toClient: DirectionFault
}

const NO_FAULT: DirectionFault = { isCut: false, delayMs: 0 }
const CUT: DirectionFault = { isCut: true, delayMs: 0 }

/** Resolves a fault into its effect on each direction. */
export function resolveLinkState (fault: LinkFault): LinkState {
  switch (fault.kind) {
    case LinkFaultKind.None: return { toTarget: NO_FAULT, toClient: NO_FAULT }
    case LinkFaultKind.CutBothWays: return { toTarget: CUT, toClient: CUT }
    case LinkFaultKind.CutToTarget: return { toTarget: CUT, toClient: NO_FAULT }
    case LinkFaultKind.CutToClient: return { toTarget: NO_FAULT, toClient: CUT }
    case LinkFaultKind.Delay: {
      const delayed = { isCut: false, delayMs: fault.delayMs }
      return { toTarget: delayed, toClient: delayed }
    }
    case LinkFaultKind.DelayToClient: return { toTarget: NO_FAULT, toClient: { isCut: false, delayMs: fault.delayMs } }
    case LinkFaultKind.CutToClientMidway: return { toTarget: NO_FAULT, toClient: { ...CUT, isMidway: true } }
    case LinkFaultKind.DelayEndToTarget: return { toTarget: { ...NO_FAULT, endDelayMs: fault.delayMs }, toClient: NO_FAULT }
    default: return protocol.assertNever(fault)
  }
}
