// Runs the Cucumber scenarios and prints the totals. Failures listed in KNOWN-RED.txt are printed but don't fail the run.
import { loadConfiguration, runCucumber } from '@cucumber/cucumber/api'
import { resolveExecutable } from '../test/fixtures/executable.ts'
import { KNOWN_RED_FILE, readKnownRed } from './knownRed.ts'

/** Number of scenarios that run concurrently, each with its own fleet. */
const PARALLEL_SCENARIOS = 3

type OnMessage = NonNullable<Parameters<typeof runCucumber>[2]>
type Envelope = Parameters<OnMessage>[0]

/** Collects the titles of passed and failed scenarios from Cucumber's message stream. */
class ScenarioResults {
  readonly passed: string[] = []
  readonly failed: string[] = []
  private readonly features = new Map<string, string>()
  private readonly titles = new Map<string, string>()
  private readonly titleByCase = new Map<string, string>()
  private readonly titleByRun = new Map<string, string>()
  private readonly failedRuns = new Set<string>()

  receive (message: Envelope): void {
    const { gherkinDocument, pickle, testCase, testCaseStarted, testStepFinished, testCaseFinished } = message
    if (gherkinDocument !== undefined) this.features.set(gherkinDocument.uri ?? '', gherkinDocument.feature?.name ?? '')
    if (pickle !== undefined) this.titles.set(pickle.id, `${this.features.get(pickle.uri) ?? pickle.uri}: ${pickle.name}`)
    if (testCase !== undefined) this.titleByCase.set(testCase.id, this.titles.get(testCase.pickleId) ?? testCase.pickleId)
    if (testCaseStarted !== undefined) this.titleByRun.set(testCaseStarted.id, this.titleByCase.get(testCaseStarted.testCaseId) ?? '')
    if (testStepFinished !== undefined && testStepFinished.testStepResult.status as string !== 'PASSED') this.failedRuns.add(testStepFinished.testCaseStartedId)
    if (testCaseFinished !== undefined) this.recordResult(testCaseFinished.testCaseStartedId)
  }

  private recordResult (runId: string): void {
    const title = this.titleByRun.get(runId) ?? runId
    if (this.failedRuns.has(runId)) this.failed.push(title)
    else this.passed.push(title)
  }
}

async function main (): Promise<number> {
  resolveExecutable()
  const names = process.argv.slice(2)
  const { runConfiguration } = await loadConfiguration({
    provided: {
      paths: ['test/scenarios'],
      name: names,
      requireModule: ['tsx/cjs'],
      require: ['test/scenarios/steps/*.ts'],
      format: ['progress'],
      parallel: PARALLEL_SCENARIOS
    }
  })
  const results = new ScenarioResults()
  await runCucumber(runConfiguration, undefined, message => { results.receive(message) })
  const knownRed = readKnownRed()
  const failed = results.failed.filter(title => !knownRed.has(title))
  for (const title of results.failed) console.log(knownRed.has(title) ? `known red: ${title}` : `failed: ${title}`)
  for (const title of results.passed.filter(each => knownRed.has(each))) console.log(`known red passes now, remove it from ${KNOWN_RED_FILE}: ${title}`)
  console.log(`${results.passed.length} passed, ${failed.length} failed, ${results.failed.length - failed.length} skipped`)
  return failed.length === 0 && results.passed.length > 0 ? 0 : 1
}

main().then(
  exitCode => { process.exit(exitCode) },
  thrown => {
    console.error(thrown)
    process.exit(1)
  }
)
