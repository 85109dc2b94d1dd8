/** Faults of the network between two processes. */
import * as protocol from '@egretvalve/protocol'

/** Kinds of network faults. */
export enum LinkFaultKind {
  None = 'none',
  /** Holds the bytes of both directions. */
  CutBothWays = 'cut-both-ways',
  /** Holds what the client sends; what the target sends still arrives. */
  CutToTarget = 'cut-to-target',
  /** Holds what the target sends; what the client sends still arrives. */
  CutToClient = 'cut-to-client',
  /** Delivers each byte late, in both directions. */
  Delay = 'delay'
}

/** A fault of one connection, or of all connections of a proxy. */
export type LinkFault =
  | { kind: LinkFaultKind.None }
  | { kind: LinkFaultKind.CutBothWays }
  | { kind: LinkFaultKind.CutToTarget }
  | { kind: LinkFaultKind.CutToClient }
  | { kind: LinkFaultKind.Delay, delayMs: number }

/** What a fault means for one direction. */
export interface DirectionFault {
  isCut: boolean
  delayMs: number
}

/** Both directions of a connection. */
export interface LinkState {
  toTarget: DirectionFault
  toClient: DirectionFault
}

const CLEAR: DirectionFault = { isCut: false, delayMs: 0 }
const CUT: DirectionFault = { isCut: true, delayMs: 0 }

/** Returns what a fault means for each direction. */
export function resolveLinkState (fault: LinkFault): LinkState {
  switch (fault.kind) {
    case LinkFaultKind.None: return { toTarget: CLEAR, toClient: CLEAR }
    case LinkFaultKind.CutBothWays: return { toTarget: CUT, toClient: CUT }
    case LinkFaultKind.CutToTarget: return { toTarget: CUT, toClient: CLEAR }
    case LinkFaultKind.CutToClient: return { toTarget: CLEAR, toClient: CUT }
    case LinkFaultKind.Delay: {
      const late = { isCut: false, delayMs: fault.delayMs }
      return { toTarget: late, toClient: late }
    }
    default: return protocol.assertNever(fault)
  }
}
