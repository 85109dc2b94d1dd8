/** Routes of the administration API. */
import * as config from '@egretvalve/config'
import * as protocol from '@egretvalve/protocol'
import { Permission, type Principal } from './access.ts'
import { changeBodySchema, createErrorResponse, createOutcomeResponse, diffBodySchema, rollbackBodySchema, type AdminRequest, type AdminResponse } from './messages.ts'
import * as results from 'ts-results'
import type * as zod from 'zod'

/** A request whose sender is authenticated and has the route's permission. */
export interface AuthorizedRequest extends AdminRequest {
  principal: Principal
  /** Path parameters by their names in the route's pattern. */
  parameters: Readonly<Record<string, string>>
}

/** Definition of a route, also the source of its OpenAPI description. */
export interface AdminRoute {
  method: 'GET' | 'POST'
  /** Path below the prefix; a part such as `{team}` is a parameter. */
  pattern: string
  summary: string
  permission: Permission
  bodySchema?: zod.ZodType
  handle: (request: AuthorizedRequest) => Promise<AdminResponse>
}

const STEP = 'admin.request'

/** Creates the routes that read and change an entry's configuration. */
export function createAdminRoutes (entryConfig: config.EntryConfig): AdminRoute[] {
  return [...createReadRoutes(entryConfig), ...createChangeRoutes(entryConfig), ...createStatusRoutes(entryConfig)]
}

function createReadRoutes (entryConfig: config.EntryConfig): AdminRoute[] {
  return [
    {
      method: 'GET',
      pattern: '/config',
      summary: 'Lists the teams and the versions in force on this entry.',
      permission: Permission.Read,
      handle: async () => ok({ teams: entryConfig.registry.list().map(({ team, version, document }) => ({ team, version, displayName: document.displayName })) })
    },
    {
      method: 'GET',
      pattern: '/config/{team}',
      summary: 'Shows the document in force on this entry.',
      permission: Permission.Read,
      handle: async request => showConfig(entryConfig, teamOf(request))
    },
    {
      method: 'GET',
      pattern: '/config/{team}/versions',
      summary: 'Lists the versions that the store keeps.',
      permission: Permission.Read,
      handle: async request => await withRecord(entryConfig, request, listVersions)
    },
    {
      method: 'GET',
      pattern: '/config/{team}/versions/{version}',
      summary: 'Shows the document of one version.',
      permission: Permission.Read,
      handle: async request => await withRecord(entryConfig, request, record => showVersion(record, Number(request.parameters['version'])))
    },
    {
      method: 'GET',
      pattern: '/config/{team}/audit',
      summary: 'Shows the audit trail and whether its chain holds.',
      permission: Permission.Read,
      handle: async request => await withRecord(entryConfig, request, showAudit)
    }
  ]
}

function createChangeRoutes (entryConfig: config.EntryConfig): AdminRoute[] {
  return [
    {
      method: 'POST',
      pattern: '/config/{team}',
      summary: 'Makes a document, or the one generated from answers, the next version.',
      permission: Permission.Change,
      bodySchema: changeBodySchema,
      handle: async request => await applyChange(entryConfig, request)
    },
    {
      method: 'POST',
      pattern: '/config/{team}/diff',
      summary: 'Compares a document, or the one generated from answers, with the one in force.',
      permission: Permission.Read,
      bodySchema: diffBodySchema,
      handle: async request => compare(entryConfig, request)
    },
    {
      method: 'POST',
      pattern: '/config/{team}/rollback',
      summary: 'Makes the document of an earlier version the next version.',
      permission: Permission.Change,
      bodySchema: rollbackBodySchema,
      handle: async request => await rollBack(entryConfig, request)
    }
  ]
}

function createStatusRoutes (entryConfig: config.EntryConfig): AdminRoute[] {
  return [
    {
      method: 'GET',
      pattern: '/config-status',
      summary: 'Shows which nodes and failure domains reported which version; `team` selects one team.',
      permission: Permission.Read,
      handle: async request => await showConfigStatus(entryConfig, request)
    },
    {
      method: 'GET',
      pattern: '/status',
      summary: 'Shows the nodes of the fleet.',
      permission: Permission.Read,
      handle: async () => await showStatus(entryConfig)
    }
  ]
}

function ok (body: object): AdminResponse {
  return { statusCode: 200, body }
}

function teamOf (request: AuthorizedRequest): string {
  return request.parameters['team'] ?? ''
}

function notFound (message: string): AdminResponse {
  return createErrorResponse(new protocol.StepError(protocol.ErrorCode.NotFound, STEP, 'local', message))
}

function showConfig (entryConfig: config.EntryConfig, team: string): AdminResponse {
  const accepted = entryConfig.registry.get(team)
  return accepted === undefined ? notFound(`team ${team} has no configuration`) : ok(accepted)
}

async function withRecord (entryConfig: config.EntryConfig, request: AuthorizedRequest, respond: (record: config.TeamRecord) => AdminResponse): Promise<AdminResponse> {
  const stored = await entryConfig.repository.read(teamOf(request))
  return stored.err ? createErrorResponse(stored.val) : respond(stored.val.record)
}

function listVersions (record: config.TeamRecord): AdminResponse {
  const versions = record.history.map(({ version, changeId }) => {
    const entry = record.audit.entries.find(candidate => candidate.changeId === changeId && candidate.accepted)
    return { version, changeId, operator: entry?.operator, atMs: entry?.atMs, action: entry?.action }
  })
  return ok({ team: record.team, versions })
}

function showVersion (record: config.TeamRecord, version: number): AdminResponse {
  const document = config.findVersion(record, version)
  return document === undefined ? notFound(`version ${version} of team ${record.team} is not kept`) : ok({ team: record.team, version, document })
}

function showAudit (record: config.TeamRecord): AdminResponse {
  const auditBreak = config.findAuditBreak(record.audit)
  return ok({ team: record.team, isWhole: auditBreak === undefined, auditBreak, ...record.audit })
}

/** Returns the document of a body, or generates it from the body's answers. */
function resolveDocument (body: { document?: unknown, answers?: unknown }): results.Result<unknown, config.ConfigProblem[]> {
  if (body.document !== undefined) return results.Ok(body.document)
  return config.parseAnswers(body.answers).map(config.generateDocument)
}

function parseBody<T> (schema: zod.ZodType<T>, request: AuthorizedRequest): results.Result<T, config.ConfigProblem[]> {
  const outcome = schema.safeParse(request.body)
  return outcome.success ? results.Ok(outcome.data) : results.Err(config.describeIssues(outcome.error, request.body))
}

function refuseBody (problems: config.ConfigProblem[]): AdminResponse {
  return createOutcomeResponse({ kind: config.ChangeOutcomeKind.Invalid, problems })
}

function createChangeOrder (request: AuthorizedRequest, body: { changeId?: string | undefined, seenVersion: number }): config.ChangeParameters {
  return { team: teamOf(request), changeId: body.changeId ?? protocol.createSubmissionId(), seenVersion: body.seenVersion, operator: request.principal.name }
}

async function applyChange (entryConfig: config.EntryConfig, request: AuthorizedRequest): Promise<AdminResponse> {
  const body = parseBody(changeBodySchema, request)
  if (body.err) return refuseBody(body.val)
  const document = resolveDocument(body.val)
  if (document.err) return refuseBody(document.val)
  return createOutcomeResponse(await entryConfig.apply(createChangeOrder(request, body.val), document.val))
}

async function rollBack (entryConfig: config.EntryConfig, request: AuthorizedRequest): Promise<AdminResponse> {
  const body = parseBody(rollbackBodySchema, request)
  if (body.err) return refuseBody(body.val)
  return createOutcomeResponse(await entryConfig.rollback(createChangeOrder(request, body.val), body.val.toVersion))
}

function compare (entryConfig: config.EntryConfig, request: AuthorizedRequest): AdminResponse {
  const body = parseBody(diffBodySchema, request)
  if (body.err) return refuseBody(body.val)
  const document = resolveDocument(body.val).andThen(config.parseDocument)
  if (document.err) return refuseBody(document.val)
  const accepted = entryConfig.registry.get(teamOf(request))
  return ok({ team: teamOf(request), version: accepted?.version ?? 0, differences: config.compareDocuments(accepted?.document, document.val) })
}

async function showConfigStatus (entryConfig: config.EntryConfig, request: AuthorizedRequest): Promise<AdminResponse> {
  const status = await entryConfig.collectStatus()
  if (status.err) return createErrorResponse(status.val)
  const team = request.query.get('team')
  const teams = status.val.teams.filter(candidate => team === null || candidate.team === team)
  const nodes = status.val.nodes.map(({ nodeId, role, condition, failureDomain, versions }) => {
    const shown = team === null ? versions : { [team]: versions[team] ?? 0 }
    return { nodeId, role, condition, failureDomain, versions: shown }
  })
  return ok({ teams, nodes, silentEntries: status.val.silentEntries })
}

async function showStatus (entryConfig: config.EntryConfig): Promise<AdminResponse> {
  const status = await entryConfig.collectStatus()
  if (status.err) return createErrorResponse(status.val)
  const nodes = status.val.nodes.map(({ versions, ...node }) => node)
  return ok({ nodes, silentEntries: status.val.silentEntries })
}
