/** The evacuated failure domains, which nodes exchange so that those that cannot reach the store know them too. */
import type * as protocol from '@egretvalve/protocol'
import { MAX_EVACUATED_DOMAINS, MAX_NAME_CHARS } from './defaults.ts'

/** Failure domains in which no task may start, as they stood in the store at a revision. */
export interface EvacuationState {
  /** Revision of the store. */
  revision: number
  failureDomains: readonly string[]
}

/** Where a state came from, for the log. */
export type EvacuationSource = 'store' | `entry ${string}` | `agent ${string}`

/** Keeps the state of the highest revision seen. The revision never decreases. */
export class Evacuations {
  private state: EvacuationState = { revision: 0, failureDomains: [] }
  private readonly listeners = new Set<(source: EvacuationSource) => void>()

  /** Revision of the current state; 0 if none is known. */
  get revision (): number {
    return this.state.revision
  }

  get failureDomains (): readonly string[] {
    return this.state.failureDomains
  }

  /** The current state as a message; undefined if none is known. */
  get message (): protocol.runs.IEvacuations | undefined {
    return this.revision === 0 ? undefined : { revision: this.revision, failureDomains: [...this.failureDomains] }
  }

  has (failureDomain: string): boolean {
    return this.failureDomains.includes(failureDomain)
  }

  /** Applies a state if its revision is higher. Listeners are called only when the set of domains changes, since the store's revision rises with every write to it. */
  offer ({ revision, failureDomains }: EvacuationState, source: EvacuationSource): void {
    if (revision <= this.revision) return
    const sorted = [...new Set(failureDomains)].sort()
    const hasChanged = sorted.length !== this.failureDomains.length || sorted.some((domain, index) => domain !== this.failureDomains[index])
    this.state = { revision, failureDomains: sorted }
    if (hasChanged) for (const listener of this.listeners) listener(source)
  }

  /** Calls the listener after each change of the set of domains. */
  subscribe (listener: (source: EvacuationSource) => void): void {
    this.listeners.add(listener)
  }
}

/** Decodes a state. Returns undefined if it is missing or can't come from a store: an implausible revision would hide all later states. */
export function decodeEvacuations (message: protocol.runs.IEvacuations | null | undefined): EvacuationState | undefined {
  const revision = message?.revision ?? 0
  const failureDomains = message?.failureDomains ?? []
  if (!Number.isSafeInteger(revision) || revision <= 0 || failureDomains.length > MAX_EVACUATED_DOMAINS) return undefined
  return failureDomains.every(domain => domain.length <= MAX_NAME_CHARS) ? { revision, failureDomains } : undefined
}
