/** Entry discovery of an agent. */
import type { AgentNode } from './agentNode.ts'
import { LINKED_DISCOVERY_PERIOD_MS, UNLINKED_DISCOVERY_PERIOD_MS } from './defaults.ts'
import { repeatUntilAborted } from './loops.ts'
import { type MembershipServices, EntryListReader } from './membership.ts'
import { decodeEntry } from './messages.ts'

/** Polls the list of entries until the signal aborts, more often while no link is open. `seeds` are dialled while no link is open, but only from the second read on if the first one returned entries. */
export async function discoverEntries (node: AgentNode, seeds: readonly string[], services: MembershipServices, signal: AbortSignal): Promise<void> {
  const reader = new EntryListReader(services)
  let isFirst = true
  await repeatUntilAborted('discovery.read', services, signal, async () => {
    const entries = await reader.read()
    node.updateEntries((entries ?? []).map(decodeEntry))
    // The links to the entries of the first read may still be opening.
    if (!isFirst || entries === undefined || entries.length === 0) node.setSeeds(seeds)
    isFirst = false
    return node.isLinked ? LINKED_DISCOVERY_PERIOD_MS : UNLINKED_DISCOVERY_PERIOD_MS
  })
}
