/** `egretvalve status`: shows the state of all entries and agents. */
import { createSettingsCommand, type Command, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'
import { ConfigClient } from './configClient.ts'
import { formatFailure, formatFleetStatus } from './configFormat.ts'
import { clientDefinition, type ClientSettings } from './configSettings.ts'

const HTTP_OK = 200

async function run (values: ClientSettings, streams: Streams): Promise<number> {
  const client = new ConfigClient(values)
  const answer = await client.get('/status')
  await client.close()
  if (answer.err) {
    streams.error(answer.val.describe())
    return ExitCode.Failure
  }
  const isSuccess = answer.val.statusCode === HTTP_OK
  const write = isSuccess ? streams.out : streams.error
  if (values.json) write(JSON.stringify(answer.val.body))
  else write(isSuccess ? formatFleetStatus(answer.val.body) : formatFailure(answer.val.body))
  return isSuccess ? ExitCode.Success : ExitCode.Failure
}

export const statusCommand: Command = createSettingsCommand<ClientSettings>({
  name: 'status',
  usage: 'egretvalve status [settings]',
  summary: 'Shows the entries and agents of the fleet.',
  definition: clientDefinition,
  run: async (values, _positionals, streams) => await run(values, streams)
})
