/** State of a partition that this entry owns. */

/** Phase of an owned partition; tasks may be started only while it is `Ready`. */
export enum PartitionPhase {
  /** The agents are being fenced and their records gathered. */
  Acquiring = 'acquiring',
  Ready = 'ready',
  /** The partition is being handed over to another member. */
  Leaving = 'leaving'
}

export interface OwnedPartition {
  epoch: number
  phase: PartitionPhase
  /** For each agent, by id, whose earlier starts may be unknown: the wall-clock time before which they lie. */
  unknownBeforeMsByAgent: Map<string, number>
}

/** Returns the wall-clock time before which starts may be unknown; 0 when all are known. */
export function unknownBeforeMs (partition: OwnedPartition): number {
  return Math.max(0, ...partition.unknownBeforeMsByAgent.values())
}
