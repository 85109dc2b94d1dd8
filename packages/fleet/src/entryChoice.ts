/** Selection of the entries to which an agent keeps links open. */
import * as placement from '@egretvalve/placement'
import * as runtime from '@egretvalve/runtime'
import { LINKS_PER_AGENT, MAX_NAME_CHARS, OWN_DOMAIN_SHARE } from './defaults.ts'

/** An entry as registered in the store. */
export interface RegisteredEntry {
  address: string
  failureDomain: string
}

/** Returns true for an entry that can be dialled and passed on: an IP address and port, and a failure domain of bounded length. */
export function isUsableEntry ({ address, failureDomain }: RegisteredEntry): boolean {
  return runtime.isSocketAddress(address) && failureDomain.length <= MAX_NAME_CHARS
}

/** Returns the addresses to link to: the agent's subset of all entries, and substitutes for the unreachable ones among them. */
export function chooseEntries (agent: { agentId: string, failureDomain: string }, entries: Iterable<RegisteredEntry>, unreachable: ReadonlySet<string>): Set<string> {
  const candidates = Array.from(entries, ({ address, failureDomain }) => ({ id: address, failureDomain }))
  const preference = { failureDomain: agent.failureDomain, share: OWN_DOMAIN_SHARE }
  const choose = (from: typeof candidates): string[] => placement.chooseSubset(agent.agentId, from, LINKS_PER_AGENT, preference).map(candidate => candidate.id)
  const chosen = choose(candidates)
  const substitutes = unreachable.size === 0 ? [] : choose(candidates.filter(candidate => !unreachable.has(candidate.id)))
  return new Set([...chosen, ...substitutes])
}
