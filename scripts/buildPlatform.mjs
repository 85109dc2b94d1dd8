// Builds target/egretvalve.cjs, the programs that run on the platform.
import { mkdirSync } from 'node:fs'
import { bundle } from './bundle.mjs'

mkdirSync('target', { recursive: true })
await bundle('platform/src/main.ts', 'target/egretvalve.cjs', { minify: true, keepNames: false })
