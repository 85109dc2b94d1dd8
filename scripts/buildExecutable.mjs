// Builds dist/egretvalve, a single executable application: Node.js with the bundled program embedded.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import postject from 'postject'
import { bundle } from './bundle.mjs'

const OUTPUT = 'dist/egretvalve'
const BUNDLE = 'dist/egretvalve.cjs'
const SEA_CONFIG = 'dist/sea-config.json'
const SEA_BLOB = 'dist/egretvalve.blob'
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

/** Runs `work` and hides postject's warnings about unnamed `.note` sections of the Node.js binary; postject copies these sections unchanged. */
async function withoutNoteWarnings (work) {
  const { write } = process.stderr
  process.stderr.write = function (chunk, ...rest) {
    return String(chunk).includes("Can't find string offset for section name '.note") || write.call(process.stderr, chunk, ...rest)
  }
  try {
    await work()
  } finally {
    process.stderr.write = write
  }
}

mkdirSync('dist', { recursive: true })
await bundle('packages/cli/src/main.ts', BUNDLE)
writeFileSync(SEA_CONFIG, JSON.stringify({ main: BUNDLE, output: SEA_BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }))
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIG], { stdio: 'ignore' })
const staged = `${OUTPUT}.new`
copyFileSync(process.execPath, staged)
chmodSync(staged, 0o755)
await withoutNoteWarnings(async () => { await postject.inject(staged, 'NODE_SEA_BLOB', readFileSync(SEA_BLOB), { sentinelFuse: SEA_FUSE }) })
renameSync(staged, OUTPUT)
