// Runs the Mocha tests and prints the totals. Failures listed in KNOWN-RED.txt are printed but don't fail the run.
import { readdirSync } from 'node:fs'
import * as path from 'node:path'
import Mocha from 'mocha'
import { KNOWN_RED_FILE, readKnownRed } from './knownRed.ts'

const TEST_TIMEOUT_MS = 120_000

/** Returns the test files below a folder, sorted by path. */
function listTestFiles (folder: string): string[] {
  const names = readdirSync(folder, { recursive: true, encoding: 'utf8' })
  return names.filter(name => name.endsWith('.test.ts')).sort().map(name => path.join(folder, name))
}

/** Returns the test files whose path contains one of the patterns; all files without patterns. */
function selectTestFiles (patterns: readonly string[]): string[] {
  const files = [...listTestFiles('test'), ...listTestFiles('platform/test')]
  if (patterns.length === 0) return files
  return files.filter(file => patterns.some(pattern => file.includes(pattern)))
}

function main (): void {
  const knownRed = readKnownRed()
  const mocha = new Mocha({ timeout: TEST_TIMEOUT_MS, reporter: 'dot', color: false })
  for (const file of selectTestFiles(process.argv.slice(2))) mocha.addFile(path.resolve(file))
  let passed = 0
  let failed = 0
  let skipped = 0
  const runner = mocha.run(() => {
    console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`)
    process.exit(failed === 0 && passed > 0 ? 0 : 1)
  })
  runner.on('pass', test => {
    passed++
    if (knownRed.has(test.fullTitle())) console.log(`known red passes now, remove it from ${KNOWN_RED_FILE}: ${test.fullTitle()}`)
  })
  runner.on('pending', () => { skipped++ })
  runner.on('fail', test => {
    if (!knownRed.has(test.fullTitle())) failed++
    else console.log(`known red: ${test.fullTitle()}`)
  })
}

main()
