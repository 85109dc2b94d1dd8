/** Deterministic subsets of peers for large fleets, chosen by rendezvous hashing. */
import * as protocol from '@egretvalve/protocol'

/** A node that may be chosen. */
export interface SubsetCandidate {
  id: string
  failureDomain: string
}

/** A failure domain that provides a given part of the subset. */
export interface DomainPreference {
  failureDomain: string
  /** Share of the subset, from 0 to 1. */
  share: number
}

interface RankedCandidate<T> {
  candidate: T
  weight: number
}

/**
 * Chooses `size` candidates for a node, or all of them if there are no more than that. The subset takes candidates from
 * the failure domains in turn. A candidate that joins or leaves changes one member of it. Requires a prior call of
 * `protocol.loadHash`.
 */
export function chooseSubset<T extends SubsetCandidate> (ownId: string, candidates: readonly T[], size: number, preference?: DomainPreference): T[] {
  if (candidates.length <= size) return [...candidates]
  if (preference === undefined) return pickRoundRobin(rankByDomain(ownId, candidates), size)
  const preferred = candidates.filter(candidate => candidate.failureDomain === preference.failureDomain)
  const others = candidates.filter(candidate => candidate.failureDomain !== preference.failureDomain)
  const preferredCount = Math.min(preferred.length, Math.max(size - others.length, Math.ceil(size * preference.share)))
  return [...pickRoundRobin(rankByDomain(ownId, preferred), preferredCount), ...pickRoundRobin(rankByDomain(ownId, others), size - preferredCount)]
}

/** Picks the first candidate of each domain, then the second of each, and so on. */
function pickRoundRobin<T> (domains: ReadonlyArray<ReadonlyArray<RankedCandidate<T>>>, size: number): T[] {
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
