/** Subcommands of the executable. */
import * as settings from '@egretvalve/settings'
import { ExitCode } from './exitCode.ts'

/** Where a command writes. */
export interface Streams {
  out: (line: string) => void
  error: (line: string) => void
}

export type Environment = Readonly<Record<string, string | undefined>>

/** One subcommand. `run` resolves to the exit code. */
export interface Command {
  name: string
  summary: string
  run: (args: readonly string[], environment: Environment, streams: Streams) => Promise<number>
}

/** A command whose arguments are settings. */
export interface SettingsCommand<T extends object> {
  name: string
  usage: string
  summary: string
  definition: settings.SettingsDefinition<T>
  run: (values: T, positionals: readonly string[], streams: Streams) => Promise<number>
}

function asksForHelp (args: readonly string[]): boolean {
  return args.includes('--help') || args.includes('-h')
}

/** Creates a command that checks its settings and prints its help. */
export function createSettingsCommand<T extends object> (command: SettingsCommand<T>): Command {
  return {
    name: command.name,
    summary: command.summary,
    run: async (args, environment, streams) => {
      if (asksForHelp(args)) {
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
