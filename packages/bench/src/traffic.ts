/** Classifies link messages into work, overhead and control. */
import * as protocol from '@egretvalve/protocol'

/** Purpose of a kind of message. */
export enum MessagePurpose {
  /** Carries submissions, starts, results or cancellations. */
  Work = 'work',
  /** Sent because of a task, but carries neither a start nor a result. */
  Overhead = 'overhead',
  /** Sent whether or not there is work. */
  Control = 'control'
}

const WORK_KINDS = new Set(['entry.start', 'entry.cancel', 'agent.report', 'peer.forward', 'peer.forwardAnswer'])
const OVERHEAD_KINDS = new Set(['agent.load', 'entry.urgency', 'entry.creditReturn', 'entry.inquiry'])
const START_KIND = 'entry.start'

/** Returns the purpose of a kind of message. */
export function resolvePurpose (kind: string): MessagePurpose {
  if (WORK_KINDS.has(kind)) return MessagePurpose.Work
  if (OVERHEAD_KINDS.has(kind)) return MessagePurpose.Overhead
  return MessagePurpose.Control
}

/** Messages and bytes by purpose. */
export interface TrafficSummary {
  workMessages: number
  overheadMessages: number
  controlMessages: number
  workBytes: number
  overheadBytes: number
  controlBytes: number
  /** Tasks in start messages, repeated attempts included. */
  tasksSent: number
}

/** Sums the messages of this process by purpose. */
export function summarizeTraffic (counts: ReadonlyMap<string, protocol.MessageTotals> = protocol.linkTraffic.read()): TrafficSummary {
  const summary = { workMessages: 0, overheadMessages: 0, controlMessages: 0, workBytes: 0, overheadBytes: 0, controlBytes: 0, tasksSent: 0 }
  for (const [kind, count] of counts) {
    const purpose = resolvePurpose(kind)
    summary[`${purpose}Messages`] += count.messages
    summary[`${purpose}Bytes`] += count.bytes
    if (kind === START_KIND) summary.tasksSent += count.tasks
  }
  return summary
}

/** Returns the difference of two summaries. */
export function subtractTraffic (after: TrafficSummary, before: TrafficSummary): TrafficSummary {
  const keys = Object.keys(after) as Array<keyof TrafficSummary>
  const difference = { ...after }
  for (const key of keys) difference[key] -= before[key]
  return difference
}
