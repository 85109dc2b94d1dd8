/** Subcommand interfaces of the executable. */
import * as settings from '@egretvalve/settings'
import { ExitCode } from './exitCode.ts'

/** Line writers for standard output and standard error. */
export interface Streams {
  out: (line: string) => void
  error: (line: string) => void
}

export type Environment = Readonly<Record<string, string | undefined>>

/** A subcommand. `run` resolves to the exit code. */
export interface Command {
  name: string
  summary: string
  run: (args: readonly string[], environment: Environment, streams: Streams) => Promise<number>
}

/** A subcommand whose arguments are settings. */
export interface SettingsCommand<T extends object> {
  name: string
  usage: string
  summary: string
  definition: settings.SettingsDefinition<T>
  run: (values: T, positionals: readonly string[], streams: Streams) => Promise<number>
}

function isHelpRequested (args: readonly string[]): boolean {
  return args.includes('--help') || args.includes('-h')
}

/** Creates a subcommand that validates its settings and handles `--help`. */
export function createSettingsCommand<T extends object> (command: SettingsCommand<T>): Command {
  return {
    name: command.name,
    summary: command.summary,
    run: async (args, environment, streams) => {
      if (isHelpRequested(args)) {
        streams.out(settings.formatHelp(command.usage, command.summary, command.definition))
        return ExitCode.Success
      }
      const resolved = settings.resolveSettings(command.definition, args, environment)
      if (resolved.err) {
        for (const problem of resolved.val) streams.error(settings.describeProblem(problem))
        streams.error(`run 'egretvalve ${command.name} --help' for all settings`)
        return ExitCode.Usage
      }
      return await command.run(resolved.val.values, resolved.val.positionals, streams)
    }
  }
}
