/** `egretvalve submit`: submits a job and waits for its answer. */
import { readFileSync } from 'node:fs'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as undici from 'undici'
import { createSettingsCommand, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'

interface SubmitSettings {
  entry: string
  team: string
  service: string
  submissionId: string
  file: string
  body: string
  waitMs: number
}

const MAX_WAIT_MS = 3_600_000
const HTTP_OK = 200

const definition: settings.SettingsDefinition<SubmitSettings> = {
  entry: settings.address('HTTP address of an entry.', '127.0.0.1:7000'),
  team: settings.text('Team that submits; a job file may state it.', 'a name', ''),
  service: settings.text('Service; a job file may state it.', 'a name', ''),
  submissionId: settings.text('Id of the submission; empty creates a dated one.', 'a name', ''),
  file: settings.text('File with the job as JSON; empty submits one task.', 'a path', ''),
  body: settings.text('Body of the one task.', 'any text', ''),
  waitMs: settings.wholeNumber('Longest wait for the answer.', 'milliseconds', 0, MAX_WAIT_MS, '60000')
}

function createBody (values: SubmitSettings): Record<string, unknown> {
  const stated = values.file === '' ? { tasks: [{ body: values.body }] } : JSON.parse(readFileSync(values.file, 'utf8')) as Record<string, unknown>
  const body: Record<string, unknown> = { submissionId: protocol.createSubmissionId(), ...stated }
  if (values.team !== '') body.team = values.team
  if (values.service !== '') body.service = values.service
  if (values.submissionId !== '') body.submissionId = values.submissionId
  return body
}

async function run (values: SubmitSettings, streams: Streams): Promise<number> {
  let body: Record<string, unknown>
  try {
    body = createBody(values)
  } catch (thrown) {
    streams.error(`--file: got ${values.file} (${thrown instanceof Error ? thrown.message : String(thrown)}); expected a file with a job as JSON`)
    return ExitCode.Usage
  }
  try {
    const response = await undici.request(`http://${values.entry}/v1/jobs?waitMs=${values.waitMs}`, { method: 'POST', body: JSON.stringify(body), headersTimeout: 0 })
    const answer = await response.body.json() as { kind?: string }
    streams.out(JSON.stringify(answer, undefined, 2))
    return response.statusCode === HTTP_OK && answer.kind === 'complete' ? ExitCode.Success : ExitCode.Failure
  } catch (thrown) {
    streams.error(`submit (${values.entry}): ${thrown instanceof Error ? thrown.message : String(thrown)}; submit again with --submission-id ${String(body.submissionId)}`)
    return ExitCode.Failure
  }
}

export const submitCommand = createSettingsCommand<SubmitSettings>({
  name: 'submit',
  usage: 'egretvalve submit [settings]',
  summary: 'Submits a job and waits for its answer. The same submission id joins the same job.',
  definition,
  run: async (values, _positionals, streams) => await run(values, streams)
})
