/** Entry point of the executable: finds the subcommand and runs it. */
import type { Command, Streams } from './command.ts'
import { ExitCode } from './exitCode.ts'
import { VERSION } from './version.ts'

/** A subcommand that is loaded on demand, to keep start-up fast. */
interface CommandEntry {
  name: string
  summary: string
  load: () => Promise<Command>
}

const COMMANDS: readonly CommandEntry[] = [
  { name: 'entry', summary: 'Runs an entry.', load: async () => (await import('./commands/entry.ts')).entryCommand },
  { name: 'agent', summary: 'Runs an agent beside a backend server.', load: async () => (await import('./commands/agent.ts')).agentCommand },
  { name: 'submit', summary: 'Submits a job and waits for its answer.', load: async () => (await import('./commands/submit.ts')).submitCommand },
  { name: 'configure', summary: 'Asks about a team\'s work and generates its configuration.', load: async () => (await import('./commands/configure.ts')).configureCommand },
  { name: 'config', summary: 'Shows and changes teams\' configuration.', load: async () => (await import('./commands/config.ts')).configCommand },
  { name: 'status', summary: 'Shows the entries and agents of the fleet.', load: async () => (await import('./commands/status.ts')).statusCommand },
  { name: 'token', summary: 'Creates an access token of the administration API.', load: async () => (await import('./commands/token.ts')).tokenCommand },
  { name: 'drain', summary: 'Takes a backend server out of service.', load: async () => (await import('./commands/drain.ts')).drainCommand },
  { name: 'dev', summary: 'Runs a whole small fleet in one process.', load: async () => (await import('./commands/dev.ts')).devCommand },
  { name: 'load', summary: 'Drives load through a fleet and measures it.', load: async () => (await import('./commands/load.ts')).loadCommand },
  { name: 'replay', summary: 'Replays a trace against its stated outcomes.', load: async () => (await import('./commands/load.ts')).replayCommand },
  { name: 'analyze', summary: 'Says from logs why jobs were refused, late or failed.', load: async () => (await import('./commands/analyze.ts')).analyzeCommand },
  { name: 'standin-store', summary: 'Runs a stand-in for the platform\'s store.', load: async () => (await import('./commands/standinStore.ts')).standinStoreCommand },
  { name: 'standin-backend', summary: 'Runs a stand-in backend server.', load: async () => (await import('./commands/standinBackend.ts')).standinBackendCommand }
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
  return await (await command.load()).run(rest, process.env, streams)
}

main(process.argv.slice(2)).then(
  exitCode => { process.exit(exitCode) },
  thrown => {
    streams.error(`egretvalve: ${thrown instanceof Error ? thrown.stack ?? thrown.message : String(thrown)}`)
    process.exit(ExitCode.Failure)
  }
)
