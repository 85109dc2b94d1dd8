// Runs all checks of the repository in order and stops at the first failure.
import { spawnSync } from 'node:child_process'

const steps = [
  { name: 'lint', command: 'npx', args: ['eslint', '.'] },
  { name: 'types', command: 'npx', args: ['tsc', '--noEmit'] },
  { name: 'build', command: 'node', args: ['scripts/buildExecutable.mjs'] },
  { name: 'scenarios', command: 'npx', args: ['tsx', 'scripts/runScenarios.ts'] },
  { name: 'tests', command: 'npx', args: ['tsx', 'scripts/runTests.ts'] }
]

for (const step of steps) {
  console.log(`check: ${step.name}`)
  const result = spawnSync(step.command, step.args, { stdio: 'inherit' })
  if (result.status !== 0) {
    console.error(`check: ${step.name} failed`)
    process.exit(result.status ?? 1)
  }
}
console.log('check: all steps passed')
