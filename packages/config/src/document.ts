/** Schema of a team's configuration document. */
import * as results from 'ts-results'
import * as zod from 'zod'
import * as checks from './checks.ts'

/** Format version of the documents. */
export const DOCUMENT_FORMAT = 1

/** Class of a request; pressing requests are dispatched before ordinary ones. */
export enum RequestClass {
  Pressing = 'pressing',
  Ordinary = 'ordinary'
}

const MAX_REGIONS = 8
const MAX_FAILURE_DOMAINS = 12
const MAX_SERVICES = 32
const MAX_REQUEST_KINDS = 64
const MAX_TIME_MS = 600_000

const capacitySchema = zod.strictObject({
  slots: checks.wholeNumber('slots', 0, 1_024),
  connections: checks.wholeNumber('connections', 0, 65_535),
  cores: checks.decimalNumber('cores', 0, 1_024),
  memoryMb: checks.decimalNumber('megabytes', 0, 4_194_304),
  accelerators: checks.wholeNumber('accelerators', 0, 64)
})

const requestKindSchema = zod.strictObject({
  name: checks.identifier(),
  path: checks.requestPath(),
  requestClass: checks.choice(RequestClass),
  /** Whether a request may run more than once; if not, it is started at most once. */
  repeatable: checks.yesOrNo(),
  deadlineMs: checks.wholeNumber('milliseconds', 1, MAX_TIME_MS),
  declaredRunMs: checks.wholeNumber('milliseconds', 1, MAX_TIME_MS)
})

const serviceSchema = zod.strictObject({
  name: checks.identifier(),
  /** Capacity that one backend server of the service announces. */
  backendServer: capacitySchema,
  /** Capacity that one task uses on its backend server. */
  taskNeeds: capacitySchema,
  /** Time within which a backend server must renew its announcement. */
  announcementLeaseMs: checks.wholeNumber('milliseconds', 500, 60_000),
  /** Time that a leaving backend server has to complete requests in progress. */
  drainMs: checks.wholeNumber('milliseconds', 100, MAX_TIME_MS),
  requests: checks.distinctList(requestKindSchema, MAX_REQUEST_KINDS, kind => kind.path, 'request kinds')
})

const regionSchema = zod.strictObject({
  name: checks.identifier(),
  failureDomains: checks.distinctList(checks.identifier(), MAX_FAILURE_DOMAINS, name => name, 'failure domains')
})

const quotaSchema = zod.strictObject({
  /** Weight of the team's share when teams compete for capacity. */
  weight: checks.wholeNumber('weight units', 1, 1_000),
  /** Share of the capacity reserved for the team, from 0 to 1. */
  reservedShare: checks.decimalNumber('the whole capacity', 0, 1)
})

/** Schema of a team's configuration document; rejects unknown fields. */
export const teamDocumentSchema = zod.strictObject({
  format: zod.literal(DOCUMENT_FORMAT, { error: `the format ${DOCUMENT_FORMAT}` }),
  team: checks.identifier(),
  displayName: checks.title(),
  regions: checks.distinctList(regionSchema, MAX_REGIONS, region => region.name, 'regions'),
  quota: quotaSchema,
  services: checks.distinctList(serviceSchema, MAX_SERVICES, service => service.name, 'services')
})

/** A team's configuration. */
export type TeamDocument = zod.infer<typeof teamDocumentSchema>
/** Configuration of one service. */
export type ServiceConfig = TeamDocument['services'][number]
/** Configuration of one request kind of a service. */
export type RequestKind = ServiceConfig['requests'][number]
/** Amounts of each capacity resource. */
export type CapacityConfig = ServiceConfig['backendServer']

/** Validates a document. Each problem names the field, the value given and what is valid. */
export function parseDocument (input: unknown): results.Result<TeamDocument, checks.ConfigProblem[]> {
  const outcome = teamDocumentSchema.safeParse(input)
  if (outcome.success) return results.Ok(outcome.data)
  return results.Err(checks.describeIssues(outcome.error, input))
}
