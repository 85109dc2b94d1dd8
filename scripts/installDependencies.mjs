// Runs `npm ci` when the dependencies are not installed or older than package-lock.json.
import { execFileSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const INSTALLED_LOCK = 'node_modules/.package-lock.json'

function isInstalled () {
  if (!existsSync(INSTALLED_LOCK)) return false
  return statSync(INSTALLED_LOCK).mtimeMs >= statSync('package-lock.json').mtimeMs
}

if (!isInstalled()) {
  execFileSync('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'], { stdio: 'inherit' })
}
