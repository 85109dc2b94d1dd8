/** `egretvalve token`: creates an access token of the administration API. */
import * as entry from '@egretvalve/entry'
import * as settings from '@egretvalve/settings'
import { createSettingsCommand, type Command, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'

interface TokenSettings {
  name: string
  role: entry.Role
  team: string
}

const definition: settings.SettingsDefinition<TokenSettings> = {
  name: settings.text('Who holds the token; the audit trail shows it.', 'a name of lower-case letters, digits, dots and hyphens'),
  role: settings.choice('What the holder may do.', entry.Role),
  team: settings.text('Team of an operator.', 'the short name of a team', '')
}

async function run (values: TokenSettings, streams: Streams): Promise<number> {
  if ((values.role === entry.Role.Operator) !== (values.team !== '')) {
    streams.error(`--team: got ${values.team === '' ? 'nothing' : values.team}; expected the team of an operator, and nothing for other roles`)
    return ExitCode.Usage
  }
  const created = entry.createToken(values)
  const parsed = entry.parseGrant(created.grantText)
  if (parsed.err) {
    streams.error(parsed.val.message)
    return ExitCode.Usage
  }
  streams.out(`token, shown only now: ${created.token}`)
  streams.out(`grant for --admin-tokens of every entry: ${created.grantText}`)
  return ExitCode.Success
}

export const tokenCommand: Command = createSettingsCommand<TokenSettings>({
  name: 'token',
  usage: 'egretvalve token --name NAME --role ROLE [--team TEAM]',
  summary: 'Creates an access token of the administration API.',
  definition,
  run: async (values, _positionals, streams) => await run(values, streams)
})
