// Runs the mocha suite, passes over the failures recorded in KNOWN-RED.txt and prints the totals.
import { readdirSync } from 'node:fs'
import * as path from 'node:path'
import Mocha from 'mocha'
import { KNOWN_RED_FILE, readKnownRed } from './knownRed.ts'

const TEST_TIMEOUT_MS = 120_000

/** Lists the test files below a folder in a stable order. */
function listTestFiles (folder: string): string[] {
  const names = readdirSync(folder, { recursive: true, encoding: 'utf8' })
  return names.filter(name => name.endsWith('.test.ts')).sort().map(name => path.join(folder, name))
}

/** Selects the files named on the command line by a part of their path, or all files. */
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
