// Runs the demonstration with the executable that has been built.
import { spawnSync } from 'node:child_process'

const result = spawnSync('dist/egretvalve', ['dev', '--demo'], { stdio: 'inherit' })
process.exit(result.status ?? 1)
