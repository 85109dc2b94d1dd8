/** The executable: finds the subcommand and runs it. */
import { ExitCode, type Command, type Streams } from './command.ts'
import { agentCommand } from './commands/agent.ts'
import { devCommand } from './commands/dev.ts'
import { entryCommand } from './commands/entry.ts'
import { loadCommand, replayCommand } from './commands/load.ts'
import { standinBackendCommand } from './commands/standinBackend.ts'
import { standinStoreCommand } from './commands/standinStore.ts'
import { submitCommand } from './commands/submit.ts'
import { VERSION } from './version.ts'

const COMMANDS: readonly Command[] = [
  entryCommand,
  agentCommand,
  submitCommand,
  devCommand,
  standinStoreCommand,
  standinBackendCommand,
  loadCommand,
  replayCommand
]

const NAME_WIDTH = 18

const streams: Streams = {
  out: line => { process.stdout.write(`${line}\n`) },
  error: line => { process.stderr.write(`${line}\n`) }
}

function formatOverview (): string {
  const lines = COMMANDS.map(command => `  ${command.name.padEnd(NAME_WIDTH)}${command.summary}`)
  return ['usage: egretvalve <command> [settings]', '', 'commands:', ...lines, '', 'Each command explains its settings with --help.'].join('\n')
}

async function main (args: readonly string[]): Promise<number> {
  const [name, ...rest] = args
  if (name === '--version') {
    streams.out(VERSION)
    return ExitCode.Success
  }
  if (name === undefined || name === '--help' || name === '-h') {
    streams.out(formatOverview())
    return name === undefined ? ExitCode.Usage : ExitCode.Success
  }
  const command = COMMANDS.find(candidate => candidate.name === name)
  if (command === undefined) {
    streams.error(`command: got ${name}; expected one of ${COMMANDS.map(candidate => candidate.name).join(', ')}`)
    return ExitCode.Usage
  }
  return await command.run(rest, process.env, streams)
}

main(process.argv.slice(2)).then(
  exitCode => { process.exit(exitCode) },
  thrown => {
    streams.error(`egretvalve: ${thrown instanceof Error ? thrown.stack ?? thrown.message : String(thrown)}`)
    process.exit(ExitCode.Failure)
  }
)
