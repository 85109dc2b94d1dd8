/** `egretvalve config`: shows and changes teams' configuration through the administration API. */
import { readFileSync } from 'node:fs'
import * as protocol from '@egretvalve/protocol'
import * as results from 'ts-results'
import * as yaml from 'yaml'
import { createSettingsCommand, type Command, type Environment, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'
import { ConfigClient, type ApiAnswer } from './configClient.ts'
import * as format from './configFormat.ts'
import { configDefinition, VERSION_NOT_GIVEN, type ConfigSettings } from './configSettings.ts'

/** First positional argument of `egretvalve config`. */
enum ConfigAction {
  List = 'list',
  Show = 'show',
  Diff = 'diff',
  Apply = 'apply',
  History = 'history',
  Rollback = 'rollback',
  Status = 'status',
  Audit = 'audit'
}

/** An API call and the formatter of its response. */
interface Call {
  path: string
  /** JSON body of a POST; GET if absent. */
  body?: object
  format: (body: unknown) => string
  /** Id of the change; set only for calls that change the configuration. */
  changeId?: string
}

type CallResult = results.Result<Call, string>

const HTTP_OK = 200

function createCall (action: ConfigAction, team: string, values: ConfigSettings): CallResult {
  const path = `/config/${encodeURIComponent(team)}`
  switch (action) {
    case ConfigAction.List: return results.Ok({ path: '/config', format: format.formatConfigList })
    case ConfigAction.Show: return results.Ok(createShowCall(path, values))
    case ConfigAction.History: return results.Ok({ path: `${path}/versions`, format: format.formatHistory })
    case ConfigAction.Audit: return results.Ok({ path: `${path}/audit`, format: format.formatAudit })
    case ConfigAction.Status: return results.Ok({ path: team === '' ? '/config-status' : `/config-status?team=${encodeURIComponent(team)}`, format: format.formatConfigStatus })
    case ConfigAction.Diff: return readContent(values).map(content => ({ path: `${path}/diff`, body: content, format: format.formatDiff }))
    case ConfigAction.Apply: return createApplyCall(path, values)
    case ConfigAction.Rollback: return createRollbackCall(path, values)
    default: return protocol.assertNever(action)
  }
}

function createShowCall (path: string, values: ConfigSettings): Call {
  const suffix = values.toVersion === VERSION_NOT_GIVEN ? '' : `/versions/${values.toVersion}`
  return { path: path + suffix, format: format.formatConfig }
}

function createApplyCall (path: string, values: ConfigSettings): CallResult {
  const seen = requireVersion('--seen-version', values.seenVersion, 'the version that config show printed, 0 for a new team')
  if (seen.err) return seen
  const changeId = resolveChangeId(values)
  return readContent(values).map(content => ({ path, body: { ...content, changeId, seenVersion: seen.val }, format: format.formatOutcome, changeId }))
}

function createRollbackCall (path: string, values: ConfigSettings): CallResult {
  const seen = requireVersion('--seen-version', values.seenVersion, 'the version that config show printed')
  if (seen.err) return seen
  const target = requireVersion('--to-version', values.toVersion, 'one of the versions that config history lists')
  if (target.err) return target
  const changeId = resolveChangeId(values)
  return results.Ok({ path: `${path}/rollback`, body: { changeId, seenVersion: seen.val, toVersion: target.val }, format: format.formatOutcome, changeId })
}

function requireVersion (flag: string, version: number, expects: string): results.Result<number, string> {
  return version === VERSION_NOT_GIVEN ? results.Err(`${flag}: got nothing; expected ${expects}`) : results.Ok(version)
}

function resolveChangeId (values: ConfigSettings): string {
  return values.changeId === '' ? protocol.createSubmissionId() : values.changeId
}

/** Reads the file named by `--document` or `--answers`, of which exactly one must be given. */
function readContent (values: ConfigSettings): results.Result<{ document?: unknown, answers?: unknown }, string> {
  if ((values.document === '') === (values.answers === '')) return results.Err('--document, --answers: got none or both; expected one of them')
  const path = values.document === '' ? values.answers : values.document
  try {
    const content: unknown = yaml.parse(readFileSync(path, 'utf8'))
    return results.Ok(values.document === '' ? { answers: content } : { document: content })
  } catch (thrown) {
    return results.Err(`${path}: ${thrown instanceof Error ? thrown.message : String(thrown)}`)
  }
}

async function run (values: ConfigSettings, positionals: readonly string[], streams: Streams): Promise<number> {
  const action = Object.values(ConfigAction).find(candidate => candidate === positionals[0])
  if (action === undefined) return printUsageError(streams, `action: got ${positionals[0] ?? 'nothing'}; expected one of ${Object.values(ConfigAction).join(', ')}`)
  const team = positionals[1] ?? ''
  const needsTeam = action !== ConfigAction.List && action !== ConfigAction.Status
  if (needsTeam && team === '') return printUsageError(streams, 'team: got nothing; expected the short name of a team')
  const call = createCall(action, team, values)
  if (call.err) return printUsageError(streams, call.val)
  const client = new ConfigClient(values)
  const answer = call.val.body === undefined ? await client.get(call.val.path) : await client.post(call.val.path, call.val.body)
  await client.close()
  if (answer.ok) return print(answer.val, call.val, values, streams)
  streams.error(answer.val.describe())
  if (call.val.changeId !== undefined && answer.val.code === protocol.ErrorCode.OutcomeUnknown) {
    streams.error(`the change may have taken effect; repeat it with --change-id ${call.val.changeId}`)
  }
  return ExitCode.Failure
}

function printUsageError (streams: Streams, message: string): number {
  streams.error(message)
  return ExitCode.Usage
}

function print (answer: ApiAnswer, call: Call, values: ConfigSettings, streams: Streams): number {
  const isSuccess = answer.statusCode === HTTP_OK
  const write = isSuccess ? streams.out : streams.error
  if (values.json) write(JSON.stringify(answer.body))
  else write(isSuccess ? call.format(answer.body) : format.formatFailure(answer.body))
  return isSuccess ? ExitCode.Success : ExitCode.Failure
}

const settingsCommand = createSettingsCommand<ConfigSettings>({
  name: 'config',
  usage: 'egretvalve config list|show|diff|apply|history|rollback|status|audit [TEAM] [settings]',
  summary: 'Shows and changes teams\' configuration.',
  definition: configDefinition,
  run
})

export async function runConfig (args: readonly string[], environment: Environment, streams: Streams): Promise<number> {
  return await settingsCommand.run(args, environment, streams)
}

export const configCommand: Command = { name: settingsCommand.name, summary: settingsCommand.summary, run: runConfig }
