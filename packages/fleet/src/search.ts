/** An agent's search for entries. */
import type { AgentNode } from './agentNode.ts'
import { AGENT_READ_MS, SEARCH_PERIOD_MS } from './defaults.ts'
import { type MembershipServices, readEntries } from './membership.ts'
import { decodeEntry } from './messages.ts'

/** Reads the list of entries until the signal, often while no entry is linked. `seeds` are tried when the list is of no help. */
export async function searchEntries (node: AgentNode, seeds: readonly string[], services: MembershipServices, signal: AbortSignal): Promise<void> {
  let isFirst = true
  while (!signal.aborted) {
    const entries = await readEntries(services)
    node.learnEntries((entries ?? []).map(decodeEntry))
    // Right after a start the listed entries may just not have been reached yet.
    if (!isFirst || entries === undefined || entries.length === 0) node.setSeeds(seeds)
    isFirst = false
    await services.timers.sleep(node.isLinked ? AGENT_READ_MS : SEARCH_PERIOD_MS, signal)
  }
}
