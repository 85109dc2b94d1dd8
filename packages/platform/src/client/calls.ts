/** Paths, bodies and status codes of the store's HTTP calls. */
import * as zod from 'zod'

/** Operations of the store. The value is the last segment of the request path. */
export enum StoreOperation {
  Get = 'get',
  List = 'list',
  CompareAndSwap = 'compare-and-swap',
  Watch = 'watch',
  GrantLease = 'grant-lease',
  RenewLease = 'renew-lease',
  RevokeLease = 'revoke-lease'
}

/** Path prefix of the operations. */
export const STORE_PATH = '/v1/store/'

const storedValueSchema = zod.object({ key: zod.string(), value: zod.string(), revision: zod.number() })
const changeSchema = zod.object({ values: zod.array(storedValueSchema), revision: zod.number() })
const leaseSchema = zod.object({ leaseId: zod.string(), ttlMs: zod.number() })
const emptySchema = zod.object({}).transform(() => undefined)

/** Request body of each operation. */
export const storeRequestSchemas = {
  [StoreOperation.Get]: zod.object({ key: zod.string().min(1) }),
  [StoreOperation.List]: zod.object({ prefix: zod.string() }),
  [StoreOperation.CompareAndSwap]: zod.object({ key: zod.string().min(1), expectedRevision: zod.number().int().min(0), value: zod.string(), leaseId: zod.string().optional() }),
  [StoreOperation.Watch]: zod.object({ prefix: zod.string(), afterRevision: zod.number().int().min(0), waitMs: zod.number().min(0) }),
  [StoreOperation.GrantLease]: zod.object({ ttlMs: zod.number().positive() }),
  [StoreOperation.RenewLease]: zod.object({ leaseId: zod.string().min(1) }),
  [StoreOperation.RevokeLease]: zod.object({ leaseId: zod.string().min(1) })
}

/** Response body of each operation. */
export const storeAnswerSchemas = {
  [StoreOperation.Get]: storedValueSchema,
  [StoreOperation.List]: changeSchema,
  [StoreOperation.CompareAndSwap]: storedValueSchema,
  [StoreOperation.Watch]: changeSchema,
  [StoreOperation.GrantLease]: leaseSchema,
  [StoreOperation.RenewLease]: leaseSchema,
  [StoreOperation.RevokeLease]: emptySchema
}

/** Response body of a failed call. */
export const storeFailureSchema = zod.object({ message: zod.string(), current: storedValueSchema.optional() })

/** HTTP status codes of failed calls. */
export enum StoreStatus {
  Mismatch = 409,
  RateLimited = 429,
  Unavailable = 503
}
