/** What an entry knows about one partition that it owns. */

/** Whether a partition takes submissions. */
export enum PartitionPhase {
  /** The agents are being fenced and their records gathered. */
  Acquiring = 'acquiring',
  Ready = 'ready',
  /** The partition is being passed to another member. */
  Leaving = 'leaving'
}

/** A partition owned by this entry. */
export interface OwnedPartition {
  epoch: number
  phase: PartitionPhase
  /** Contribution of each agent whose earlier starts may be unknown here, by agent id: wall-clock time before which they lie. */
  unknownBeforeMsByAgent: Map<string, number>
}

/** Returns the wall-clock time before which starts may be unknown; 0 when all are known. */
export function unknownBeforeMs (partition: OwnedPartition): number {
  return Math.max(0, ...partition.unknownBeforeMsByAgent.values())
}
