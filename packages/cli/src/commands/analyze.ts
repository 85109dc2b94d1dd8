/** `egretvalve analyze`: says from logs why jobs were refused, late or failed. */
import { createReadStream } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import * as readline from 'node:readline'
import * as analysis from '@egretvalve/analysis'
import * as protocol from '@egretvalve/protocol'
import * as settings from '@egretvalve/settings'
import * as results from 'ts-results'
import { createSettingsCommand, type Streams } from '../command.ts'
import { ExitCode } from '../exitCode.ts'

interface AnalyzeSettings {
  windowMs: number
  json: string
  html: string
}

const MIN_WINDOW_MS = 100
const MAX_WINDOW_MS = 3_600_000

const definition: settings.SettingsDefinition<AnalyzeSettings> = {
  windowMs: settings.wholeNumber('Length of the groups by time.', 'milliseconds', MIN_WINDOW_MS, MAX_WINDOW_MS, '2000'),
  json: settings.text('File for the analysis as JSON.', 'a path, or nothing', ''),
  html: settings.text('File for a page with tables and plots.', 'a path, or nothing', '')
}

/** Reads the lines of all files. Fails with `log.read` for the first file that can't be read. */
async function readLines (paths: readonly string[]): Promise<results.Result<string[], protocol.StepError>> {
  const lines: string[] = []
  for (const path of paths) {
    try {
      for await (const line of readline.createInterface({ input: createReadStream(path) })) lines.push(line)
    } catch (thrown) {
      return results.Err(protocol.toStepError(thrown, 'log.read', path))
    }
  }
  return results.Ok(lines)
}

async function run (values: AnalyzeSettings, paths: readonly string[], streams: Streams): Promise<number> {
  if (paths.length === 0) {
    streams.error('LOG: got nothing; expected one or more log files of entries and agents')
    return ExitCode.Usage
  }
  const lines = await readLines(paths)
  if (lines.err) {
    streams.error(lines.val.describe())
    return ExitCode.Failure
  }
  const analyzed = analysis.analyzeLogs(lines.val, values.windowMs)
  if (analyzed.submissions.length === 0) {
    streams.error(`LOG: got ${lines.val.length} lines without a job; expected the log lines of entries and agents`)
    return ExitCode.Failure
  }
  if (values.json !== '') await writeFile(values.json, analysis.formatAnalysisJson(analyzed))
  if (values.html !== '') await writeFile(values.html, analysis.formatAnalysisPage(analyzed))
  streams.out(analysis.formatAnalysis(analyzed).trimEnd())
  return ExitCode.Success
}

export const analyzeCommand = createSettingsCommand<AnalyzeSettings>({
  name: 'analyze',
  usage: 'egretvalve analyze LOG... [settings]',
  summary: 'Says from the logs of entries and agents which jobs were refused, late or failed, and why.',
  definition,
  run
})
