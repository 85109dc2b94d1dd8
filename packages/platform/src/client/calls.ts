/** Bodies of the store's HTTP calls and their answers. */
import * as zod from 'zod'

/** Operations of the store by the last part of their path. */
export enum StoreOperation {
  Get = 'get',
  List = 'list',
  CompareAndSwap = 'compare-and-swap',
  Watch = 'watch',
  GrantLease = 'grant-lease',
  RenewLease = 'renew-lease',
  RevokeLease = 'revoke-lease'
}

/** Path below which the operations lie. */
export const STORE_PATH = '/v1/store/'

const storedValueSchema = zod.object({ key: zod.string(), value: zod.string(), revision: zod.number() })
const changeSchema = zod.object({ values: zod.array(storedValueSchema), revision: zod.number() })
const leaseSchema = zod.object({ leaseId: zod.string(), ttlMs: zod.number() })
const nothingSchema = zod.object({}).transform(() => undefined)

/** Bodies of requests. */
export const storeRequestSchemas = {
  [StoreOperation.Get]: zod.object({ key: zod.string().min(1) }),
  [StoreOperation.List]: zod.object({ prefix: zod.string() }),
  [StoreOperation.CompareAndSwap]: zod.object({ key: zod.string().min(1), expectedRevision: zod.number().int().min(0), value: zod.string(), leaseId: zod.string().optional() }),
  [StoreOperation.Watch]: zod.object({ prefix: zod.string(), afterRevision: zod.number().int().min(0), waitMs: zod.number().min(0) }),
  [StoreOperation.GrantLease]: zod.object({ ttlMs: zod.number().positive() }),
  [StoreOperation.RenewLease]: zod.object({ leaseId: zod.string().min(1) }),
  [StoreOperation.RevokeLease]: zod.object({ leaseId: zod.string().min(1) })
}

/** Bodies of answers. */
export const storeAnswerSchemas = {
  [StoreOperation.Get]: storedValueSchema,
  [StoreOperation.List]: changeSchema,
  [StoreOperation.CompareAndSwap]: storedValueSchema,
  [StoreOperation.Watch]: changeSchema,
  [StoreOperation.GrantLease]: leaseSchema,
  [StoreOperation.RenewLease]: leaseSchema,
  [StoreOperation.RevokeLease]: nothingSchema
}

/** Body of an answer that reports a failure. */
export const storeFailureSchema = zod.object({ message: zod.string(), current: storedValueSchema.optional() })

/** HTTP status codes of failed calls. */
export enum StoreStatus {
  Mismatch = 409,
  RateLimited = 429,
  Unavailable = 503
}
