/** Fences and peer leases over the simulated network. */
import type * as ownership from '@egretvalve/ownership'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import type { SimEntry } from './simEntry.ts'
import type { SimWorld } from './simWorld.ts'
import type { NodeClock } from './simTimers.ts'

/** Resolves with the reply, or with a time-out by the requesting node's clock. */
async function request<T> (world: SimWorld, from: SimEntry, toId: string, toClock: NodeClock | undefined, timeoutMs: number, answer: () => T): Promise<results.Result<T, protocol.StepError>> {
  return await new Promise(resolve => {
    from.clock.after(timeoutMs, () => { resolve(results.Err(new protocol.StepError(protocol.ErrorCode.Timeout, 'sim.request', toId, 'no answer in time'))) })
    if (toClock === undefined) return
    world.network.send(from.incarnation, toId, toClock, () => {
      const reply = answer()
      world.network.send(toId, from.incarnation, from.clock, () => { resolve(results.Ok(reply)) })
    })
  })
}

export function createFences (world: SimWorld, entry: SimEntry): ownership.FenceTransport {
  return {
    knownAgents: () => [...world.agents.keys()],
    gather: async (agentId, partitions, timeoutMs) => {
      const agent = world.agents.get(agentId)
      return await request(world, entry, agentId, agent?.clock, timeoutMs, () => {
        agent?.record.fence(partitions)
        const jobs = agent?.record.gather(partitions.map(partition => partition.partition ?? 0)).flat() ?? []
        const completeSinceMs = agent === undefined || agent.incarnation === 1 ? 0 : agent.startedAtWallMs
        return { agentId, incarnation: String(agent?.incarnation), jobs, completeSinceMs }
      })
    }
  }
}

export function createPeerLeases (world: SimWorld, entry: SimEntry): ownership.PeerLeaseTransport {
  return {
    request: async (member, leaseRequest, timeoutMs) => {
      const target = world.entries.get(member.incarnation)
      return await request(world, entry, member.incarnation, target?.clock, timeoutMs, () => target!.ownership.handlePeerLeaseRequest(entry.incarnation, leaseRequest))
    },
    hasExited: async (member, timeoutMs) => {
      await entry.clock.sleep(timeoutMs)
      const isCut = world.network.isCut(entry.incarnation, member.incarnation) || world.network.isCut(member.incarnation, entry.incarnation)
      return !isCut && world.entries.get(member.incarnation)?.clock.isStopped === true
    }
  }
}
