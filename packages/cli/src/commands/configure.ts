/** `egretvalve configure`: generates a configuration document from a questionnaire, at the terminal or from an answers file. */
import { readFileSync, writeFileSync } from 'node:fs'
import * as config from '@egretvalve/config'
import * as settings from '@egretvalve/settings'
import { createSettingsCommand, type Command, type Environment, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'

interface ConfigureSettings {
  answers: string
  example: string
  start: string
  language: config.Language
  output: string
  saveAnswers: string
}

function createDefinition (environment: Environment): settings.SettingsDefinition<ConfigureSettings> {
  const language = config.resolveLanguage(environment['LC_ALL'] ?? environment['LC_MESSAGES'] ?? environment['LANG'])
  return {
    answers: settings.text('Answers file; without one the questions are asked at the terminal.', 'the path of a YAML file', ''),
    example: settings.text('Prints the answers file of an example and ends.', `one of ${Object.values(config.ExampleName).join(', ')}`, ''),
    start: settings.text('Answers file that the terminal starts from.', 'the path of a YAML file', ''),
    language: settings.choice('Language of the questions.', config.Language, language),
    output: settings.text('File for the generated document; without one it is printed.', 'a path', ''),
    saveAnswers: settings.text('File for the answers given at the terminal.', 'a path', '')
  }
}

async function run (values: ConfigureSettings, streams: Streams): Promise<number> {
  if (values.example !== '') return printExample(values.example, streams)
  const translator = config.createTranslator(values.language)
  const answers = values.answers === '' ? await interview(values, translator, streams) : readAnswers(values.answers, translator, streams)
  if (answers === undefined) return ExitCode.Usage
  if (values.saveAnswers !== '') writeFileSync(values.saveAnswers, config.formatAnswersYaml(answers))
  const text = JSON.stringify(config.generateDocument(answers), undefined, 2)
  if (values.output === '') streams.out(text)
  else writeFileSync(values.output, `${text}\n`)
  return ExitCode.Success
}

function printExample (name: string, streams: Streams): number {
  const example = Object.values(config.ExampleName).find(candidate => candidate === name)
  if (example === undefined) {
    streams.error(`--example: got ${name}; expected one of ${Object.values(config.ExampleName).join(', ')}`)
    return ExitCode.Usage
  }
  streams.out(config.readExampleText(example).trimEnd())
  return ExitCode.Success
}

/** Reads an answers file. Prints its problems and returns undefined if it is invalid. */
export function readAnswers (path: string, translator: config.Translator, streams: Streams): config.Answers | undefined {
  const parsed = config.parseAnswersYaml(readFileSync(path, 'utf8'))
  if (parsed.ok) return parsed.val
  for (const problem of parsed.val) streams.error(config.translateProblem(translator, problem))
  return undefined
}

async function interview (values: ConfigureSettings, translator: config.Translator, streams: Streams): Promise<config.Answers | undefined> {
  if (!process.stdin.isTTY) {
    streams.error('--answers: got nothing; expected an answers file, because the input is no terminal')
    return undefined
  }
  const before = values.start === '' ? {} : readAnswers(values.start, translator, streams)
  if (before === undefined) return undefined
  const prompter = config.createTerminalPrompter({ input: process.stdin, output: process.stderr })
  return await config.runInterview(prompter, translator, before)
}

/** Runs `egretvalve configure`. The default language is taken from the locale variables in `environment`. */
export async function runConfigure (args: readonly string[], environment: Environment, streams: Streams): Promise<number> {
  const command = createSettingsCommand<ConfigureSettings>({
    name: configureCommand.name,
    usage: 'egretvalve configure [--answers FILE] [settings]',
    summary: configureCommand.summary,
    definition: createDefinition(environment),
    run: async (values, _positionals, out) => await run(values, out)
  })
  return await command.run(args, environment, streams)
}

export const configureCommand: Command = {
  name: 'configure',
  summary: 'Asks about a team\'s work in plain terms and generates its configuration.',
  run: async (args, environment, streams) => await runConfigure(args, environment, streams)
}
