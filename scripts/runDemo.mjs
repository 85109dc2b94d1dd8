// Runs the demo with the built executable.
import { spawnSync } from 'node:child_process'

const result = spawnSync('dist/egretvalve', ['dev', '--demo'], { stdio: 'inherit' })
process.exit(result.status ?? 1)
