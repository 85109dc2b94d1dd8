// Builds target/egretvalve.cjs, the programs that run on the platform, with a code cache beside it.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync, rmSync } from 'node:fs'
import { bundle } from './bundle.mjs'

const LOADER = 'target/egretvalve.cjs'
const PROGRAM = 'target/program.cjs'
const CACHE = 'target/program.cache'

mkdirSync('target', { recursive: true })
rmSync(CACHE, { force: true })
await bundle('platform/src/main.ts', PROGRAM, { minify: true, alias: { undici: './scripts/undiciPool.mjs', moleculer: './scripts/moleculerCore.cjs' } })
copyFileSync('platform/loader.cjs', LOADER)

// The engine takes a cache only under the flags that it was made with.
const flags = /node (.*?)target\/egretvalve\.cjs/.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ').filter(Boolean)
const createCache = `const loader = require('./${LOADER}'); require('fs').writeFileSync(loader.CACHE, loader.loadProgram().script.createCachedData()); process.exit(0)`
execFileSync(process.execPath, [...flags, '-e', createCache])
