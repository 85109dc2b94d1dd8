/** An agent's search for entries. */
import { AGENT_READ_MS, SEARCH_PERIOD_MS } from './defaults.ts'
import type { AgentNode } from './agentNode.ts'
import { type MembershipServices, readEntries } from './membership.ts'

/** Reads the list of entries until the signal, often while no entry is linked. `seeds` are tried as well. */
export async function searchEntries (node: AgentNode, seeds: readonly string[], services: MembershipServices, signal: AbortSignal): Promise<void> {
  node.setEntries(seeds)
  while (!signal.aborted) {
    const entries = await readEntries(services)
    const listed = entries?.map(entry => entry.address ?? '') ?? []
    node.setEntries(node.isLinked ? listed : [...listed, ...seeds])
    await services.timers.sleep(node.isLinked ? AGENT_READ_MS : SEARCH_PERIOD_MS, signal)
  }
}
