/** Options and faults of the stand-in backend server. */
import type * as settings from '@egretvalve/settings'
import * as zod from 'zod'

/** Faults that a backend server can show. */
export const backendFaultsSchema = zod.strictObject({
  /** Answers each task at once with status 500. */
  failAll: zod.boolean().default(false),
  /** Takes tasks and never answers them. */
  hang: zod.boolean().default(false),
  /** Closes each connection as soon as it opens. */
  refuseConnections: zod.boolean().default(false),
  /** Share of the tasks, from 0 to 1, that run `stragglerFactor` times their length. */
  stragglerShare: zod.number().min(0).max(1).default(0),
  stragglerFactor: zod.number().min(1).default(20)
})

export type BackendFaults = zod.infer<typeof backendFaultsSchema>

/** A server without faults. */
export const NO_FAULTS: BackendFaults = backendFaultsSchema.parse({})

/** What the backend server announces and how it behaves. */
export interface StandinBackendOptions {
  /** IP address and port; port 0 takes any free port. */
  listen: string
  /** Announcement address of the agent beside it; empty announces nothing. */
  agentAddress: string
  service: string
  slots: number
  connections: number
  cores: number
  memoryMb: number
  accelerators: number
  rack: string
  /** Length of the announcement's lease in milliseconds; renewed three times in that time. */
  leaseMs?: number
  /** Seed of the choice of stragglers. */
  seed?: number
  faults?: Partial<BackendFaults>
  timers: settings.Timers
  log: settings.Log
}

/** Length of the announcement's lease in milliseconds. */
export const DEFAULT_LEASE_MS = 3_000

/** Seed of the choice of stragglers. */
export const DEFAULT_SEED = 1
