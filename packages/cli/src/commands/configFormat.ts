/** Text output of the configuration and status commands. The formatters throw if a response does not match its schema. */
import * as config from '@egretvalve/config'
import * as yaml from 'yaml'
import * as zod from 'zod'

const difference = zod.object({ path: zod.string(), from: zod.string().optional(), to: zod.string().optional() })
const problem = zod.object({ question: zod.string(), given: zod.string(), expects: zod.string() })

const configList = zod.object({ teams: zod.array(zod.object({ team: zod.string(), version: zod.number(), displayName: zod.string() })) })
const configDocument = zod.object({ team: zod.string(), version: zod.number(), document: zod.unknown() })
const versionList = zod.object({
  versions: zod.array(zod.object({ version: zod.number(), operator: zod.string().optional(), atMs: zod.number().optional(), action: zod.string().optional() }))
})
const diff = zod.object({ team: zod.string(), version: zod.number(), differences: zod.array(difference) })
const audit = zod.object({
  isWhole: zod.boolean(),
  auditBreak: zod.object({ message: zod.string() }).optional(),
  baseSequence: zod.number(),
  entries: zod.array(zod.object({
    sequence: zod.number(),
    operator: zod.string(),
    atMs: zod.number(),
    entryId: zod.string(),
    action: zod.string(),
    fromVersion: zod.number(),
    toVersion: zod.number(),
    accepted: zod.boolean(),
    reason: zod.string(),
    differences: zod.array(difference)
  }))
})
const domain = zod.object({ failureDomain: zod.string(), nodes: zod.number(), nodesInForce: zod.number() })
const configStatus = zod.object({
  teams: zod.array(zod.object({ team: zod.string(), version: zod.number(), inForceEverywhere: zod.boolean(), domains: zod.array(domain), lagging: zod.array(zod.string()) })),
  silentEntries: zod.array(zod.string())
})
const fleetStatus = zod.object({
  nodes: zod.array(zod.object({
    nodeId: zod.string(),
    role: zod.string(),
    condition: zod.string(),
    failureDomain: zod.string(),
    silentMs: zod.number(),
    service: zod.string(),
    freeSlots: zod.number(),
    running: zod.number(),
    queued: zod.number()
  })),
  silentEntries: zod.array(zod.string())
})
const outcome = zod.object({
  kind: zod.string(),
  team: zod.string().optional(),
  version: zod.number().optional(),
  changeId: zod.string().optional(),
  message: zod.string().optional(),
  seenVersion: zod.number().optional(),
  currentVersion: zod.number().optional(),
  changedBy: zod.string().optional(),
  differences: zod.array(difference).optional(),
  problems: zod.array(problem).optional()
})
const failure = zod.object({ message: zod.string(), problems: zod.array(problem).optional() })

/** Formats rows as aligned columns. */
function formatTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const table = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...table.map(row => row[column]?.length ?? 0)))
  return table.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}

function formatTime (timeMs: number | undefined): string {
  return timeMs === undefined ? '' : new Date(timeMs).toISOString()
}

function formatDifferences (differences: ReadonlyArray<zod.infer<typeof difference>>): string {
  return differences.map(value => `  ${config.describeDifference(value as config.Difference)}`).join('\n')
}

/** Formats the response of `config list`. */
export function formatConfigList (body: unknown): string {
  const { teams } = configList.parse(body)
  return formatTable(['TEAM', 'VERSION', 'NAME'], teams.map(team => [team.team, String(team.version), team.displayName]))
}

/** Formats a document as YAML with its version. */
export function formatConfig (body: unknown): string {
  const { team, version, document } = configDocument.parse(body)
  return `# team ${team}, version ${version}\n${yaml.stringify(document).trimEnd()}`
}

/** Formats the retained versions. */
export function formatHistory (body: unknown): string {
  const rows = versionList.parse(body).versions.map(entry => [String(entry.version), formatTime(entry.atMs), entry.operator ?? '', entry.action ?? ''])
  return formatTable(['VERSION', 'TIME', 'OPERATOR', 'ACTION'], rows)
}

/** Formats the differences from the current version. */
export function formatDiff (body: unknown): string {
  const { team, version, differences } = diff.parse(body)
  if (differences.length === 0) return `no difference from version ${version} of team ${team}`
  return `differences from version ${version} of team ${team}:\n${formatDifferences(differences)}`
}

/** Formats the audit trail. */
export function formatAudit (body: unknown): string {
  const trail = audit.parse(body)
  const entries = trail.entries.map(entry => {
    const verdict = entry.accepted ? 'accepted' : `refused: ${entry.reason}`
    const head = `${entry.sequence}  ${formatTime(entry.atMs)}  ${entry.operator}  ${entry.action}  ${entry.fromVersion} -> ${entry.toVersion}  through ${entry.entryId}  ${verdict}`
    return entry.differences.length === 0 ? head : `${head}\n${formatDifferences(entry.differences)}`
  })
  const earlier = trail.baseSequence === 0 ? [] : [`entries 1 to ${trail.baseSequence} are archived`]
  const chain = trail.isWhole ? 'the chain is whole' : `THE CHAIN IS BROKEN: ${trail.auditBreak?.message ?? ''}`
  return [...earlier, ...entries, chain].join('\n')
}

/** Formats the rollout status of each team's current version. */
export function formatConfigStatus (body: unknown): string {
  const { teams, silentEntries } = configStatus.parse(body)
  const rows = teams.map(team => {
    const domains = team.domains.map(value => `${value.failureDomain} ${value.nodesInForce}/${value.nodes}`).join(', ')
    return [team.team, String(team.version), team.inForceEverywhere ? 'everywhere' : `not on ${team.lagging.join(', ')}`, domains]
  })
  return [formatTable(['TEAM', 'VERSION', 'IN FORCE', 'NODES BY FAILURE DOMAIN'], rows), ...formatUnresponsiveEntries(silentEntries)].join('\n')
}

/** Formats the fleet status. */
export function formatFleetStatus (body: unknown): string {
  const { nodes, silentEntries } = fleetStatus.parse(body)
  const rows = nodes.map(node => [
    node.nodeId, node.role, node.condition, node.failureDomain, node.service, String(node.freeSlots), String(node.running), String(node.queued), `${node.silentMs} ms`
  ])
  const table = formatTable(['NODE', 'ROLE', 'STATE', 'FAILURE DOMAIN', 'SERVICE', 'FREE', 'RUNNING', 'QUEUED', 'LAST HEARD'], rows)
  return [table, ...formatUnresponsiveEntries(silentEntries)].join('\n')
}

function formatUnresponsiveEntries (silentEntries: readonly string[]): string[] {
  return silentEntries.length === 0 ? [] : [`no report from entries: ${silentEntries.join(', ')}`]
}

/** Formats the outcome of an apply or rollback. */
export function formatOutcome (body: unknown): string {
  const value = outcome.parse(body)
  switch (value.kind) {
    case config.ChangeOutcomeKind.Accepted:
      return `accepted: version ${value.version} of team ${value.team}\n${formatDifferences(value.differences ?? [])}`
    case config.ChangeOutcomeKind.Unchanged:
      return `unchanged: version ${value.version} of team ${value.team} is the same`
    case config.ChangeOutcomeKind.Conflict:
      return `conflict: you saw version ${value.seenVersion}, ${value.changedBy} made version ${value.currentVersion}; nothing was overwritten. Differences since:\n${formatDifferences(value.differences ?? [])}`
    default:
      return [`${value.kind}${value.message === undefined ? '' : `: ${value.message}`}`, ...formatProblems(value.problems)].join('\n')
  }
}

/** Formats an error response, or the outcome of a change that was not accepted. */
export function formatFailure (body: unknown): string {
  const parsed = failure.safeParse(body)
  if (!parsed.success) return formatOutcome(body)
  return [parsed.data.message, ...formatProblems(parsed.data.problems)].join('\n')
}

function formatProblems (problems: ReadonlyArray<zod.infer<typeof problem>> | undefined): string[] {
  return (problems ?? []).map(config.describeConfigProblem)
}
