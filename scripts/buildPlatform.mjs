// Builds target/egretvalve.cjs, the loader of the platform programs, with the bundled program and its V8 code cache.
// `--readable` leaves names and lines in place, for profiles (scripts/readProfile.ts).
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync, rmSync } from 'node:fs'
import { bundle } from './bundle.mjs'

const LOADER = 'target/egretvalve.cjs'
const PROGRAM = 'target/program.cjs'
const CACHE = 'target/program.cache'

mkdirSync('target', { recursive: true })
rmSync(CACHE, { force: true })
await bundle('platform/src/main.ts', PROGRAM, { minify: !process.argv.includes('--readable'), alias: { undici: './scripts/undiciPool.mjs', moleculer: './scripts/moleculerCore.cjs', 'serve-static': './scripts/unusedModule.cjs', long: './scripts/unusedModule.cjs' } })
copyFileSync('platform/loader.cjs', LOADER)

// V8 rejects a code cache that was created under other flags, so the flags come from the start command of the deployment.
const flags = /node (.*?)target\/egretvalve\.cjs/.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ').filter(Boolean)
execFileSync(process.execPath, [...flags, 'scripts/warmUp.mjs'], { stdio: 'inherit' })
execFileSync(process.execPath, [...flags, '-e', `if (require('./${LOADER}').loadProgram().script.cachedDataRejected) throw new Error('the code cache is not valid under the flags of the deploy file'); process.exit(0)`])
