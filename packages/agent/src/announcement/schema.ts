/** Schema of a backend server's announcement. */
import * as runtime from '@egretvalve/runtime'
import * as zod from 'zod'

const MAX_SLOTS = 10_000
const MIN_LEASE_MS = 100
const MAX_LEASE_MS = 600_000

export const announcementSchema = zod.strictObject({
  service: zod.string().min(1).max(100),
  address: zod.string().refine(runtime.isIpv4SocketAddress, 'an IPv4 address and port'),
  slots: zod.int().min(1).max(MAX_SLOTS),
  connections: zod.int().min(1).max(MAX_SLOTS),
  cores: zod.number().min(0).default(0),
  memoryMb: zod.number().min(0).default(0),
  accelerators: zod.int().min(0).default(0),
  rack: zod.string().default(''),
  leaseMs: zod.int().min(MIN_LEASE_MS).max(MAX_LEASE_MS)
})

/** A validated announcement. */
export type Announcement = zod.infer<typeof announcementSchema>
