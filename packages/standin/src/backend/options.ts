/** Options and faults of the stand-in backend server. */
import type * as settings from '@egretvalve/settings'
import * as zod from 'zod'

/** Schema of the faults that a stand-in backend server can inject, as accepted by `PUT /faults`. Omitted faults take their defaults. */
export const backendFaultsSchema = zod.strictObject({
  /** Answers each task immediately with status 500. */
  failAll: zod.boolean().default(false),
  /** Accepts tasks and never answers them. */
  hang: zod.boolean().default(false),
  /** Closes each connection as soon as it opens. */
  refuseConnections: zod.boolean().default(false),
  /** Fraction of tasks, from 0 to 1, that run `stragglerFactor` times as long as requested. */
  stragglerShare: zod.number().min(0).max(1).default(0),
  stragglerFactor: zod.number().min(1).default(20)
})

/** Faults in force. */
export type BackendFaults = zod.infer<typeof backendFaultsSchema>

/** All faults off. */
export const NO_FAULTS: BackendFaults = backendFaultsSchema.parse({})

/** Options of a stand-in backend server. */
export interface StandinBackendOptions {
  /** Listen address as `ip:port`; port 0 selects a free port. */
  listen: string
  /** Announcement address of the local agent as `ip:port`; if empty, the server does not announce itself. */
  agentAddress: string
  service: string
  slots: number
  connections: number
  cores: number
  memoryMb: number
  accelerators: number
  rack: string
  /** Announcement lease in milliseconds, renewed three times per lease. Defaults to `DEFAULT_LEASE_MS`. */
  leaseMs?: number
  /** Seed of the random straggler selection. Defaults to `DEFAULT_SEED`. */
  seed?: number
  faults?: Partial<BackendFaults>
  timers: settings.Timers
  log: settings.Log
}

/** Default announcement lease in milliseconds. */
export const DEFAULT_LEASE_MS = 3_000

/** Default seed of the random straggler selection. */
export const DEFAULT_SEED = 1
