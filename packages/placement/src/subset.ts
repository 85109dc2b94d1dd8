/** Deterministic subsets of peers for large fleets, by rendezvous hashing. */
import * as protocol from '@egretvalve/protocol'

/** A node that may be picked. */
export interface SubsetCandidate {
  id: string
  failureDomain: string
}

/** A failure domain from which part of the pick comes first. */
export interface DomainPreference {
  failureDomain: string
  /** Share of the pick, from 0 to 1. */
  share: number
}

interface RankedCandidate<T> {
  candidate: T
  weight: number
}

/**
 * Picks `size` candidates for a node; all of them when there are no more. The pick spreads over failure domains in
 * turn and changes for one candidate only when a candidate joins or leaves. Needs `protocol.loadHash`.
 */
export function chooseSubset<T extends SubsetCandidate> (ownId: string, candidates: readonly T[], size: number, preference?: DomainPreference): T[] {
  if (candidates.length <= size) return [...candidates]
  if (preference === undefined) return pickInTurn(rankByDomain(ownId, candidates), size)
  const near = candidates.filter(candidate => candidate.failureDomain === preference.failureDomain)
  const far = candidates.filter(candidate => candidate.failureDomain !== preference.failureDomain)
  const nearCount = Math.min(near.length, Math.max(size - far.length, Math.ceil(size * preference.share)))
  return [...pickInTurn(rankByDomain(ownId, near), nearCount), ...pickInTurn(rankByDomain(ownId, far), size - nearCount)]
}

/** Picks the first of each list, then the second of each, and so on. */
function pickInTurn<T> (domains: ReadonlyArray<ReadonlyArray<RankedCandidate<T>>>, size: number): T[] {
  const chosen: T[] = []
  for (let round = 0; chosen.length < size; round++) {
    for (const domain of domains) {
      const ranked = domain[round]
      if (ranked !== undefined && chosen.length < size) chosen.push(ranked.candidate)
    }
  }
  return chosen
}

function rankByDomain<T extends SubsetCandidate> (ownId: string, candidates: readonly T[]): Array<Array<RankedCandidate<T>>> {
  const domains = new Map<string, Array<RankedCandidate<T>>>()
  for (const candidate of candidates) {
    const ranked = { candidate, weight: protocol.hashText(`${ownId}/${candidate.id}`) }
    const domain = domains.get(candidate.failureDomain)
    if (domain === undefined) domains.set(candidate.failureDomain, [ranked])
    else domain.push(ranked)
  }
  const lists = [...domains.values()]
  for (const list of lists) list.sort((left, right) => right.weight - left.weight)
  return lists.sort((left, right) => right[0]!.weight - left[0]!.weight)
}
