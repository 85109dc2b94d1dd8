// Builds dist/egretvalve: one file that holds Node.js and the bundled program.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { build } from 'esbuild'
import postject from 'postject'

const OUTPUT = 'dist/egretvalve'
const BUNDLE = 'dist/egretvalve.cjs'
const SEA_CONFIG = 'dist/sea-config.json'
const SEA_BLOB = 'dist/egretvalve.blob'
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

// Optional modules of the libraries that are installed but can't run inside the executable.
const UNUSED_MODULES = new Set(['unix-dgram'])

// Optional modules that a library asks for and that this program never uses become modules that refuse to load,
// so that the executable doesn't look for them on disk.
const optionalModules = {
  name: 'optional-modules',
  setup (context) {
    context.onResolve({ filter: /^[@a-z]/ }, async args => {
      if (args.pluginData === 'checking' || args.kind === 'entry-point') return undefined
      const found = await context.resolve(args.path, { kind: args.kind, importer: args.importer, resolveDir: args.resolveDir, pluginData: 'checking' })
      if (found.errors.length === 0 && !UNUSED_MODULES.has(args.path)) return found
      return { path: args.path, namespace: 'optional-module' }
    })
    context.onLoad({ filter: /.*/, namespace: 'optional-module' }, args => {
      return { contents: `throw new Error('optional module ${args.path} is not part of the executable')` }
    })
  }
}

mkdirSync('dist', { recursive: true })
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [optionalModules],
  alias: { 'ts-results': './node_modules/ts-results/esm/index.js' },
  logLevel: 'error'
})
writeFileSync(SEA_CONFIG, JSON.stringify({ main: BUNDLE, output: SEA_BLOB, disableExperimentalSEAWarning: true, useCodeCache: true }))
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIG], { stdio: 'ignore' })
const staged = `${OUTPUT}.new`
copyFileSync(process.execPath, staged)
chmodSync(staged, 0o755)
await postject.inject(staged, 'NODE_SEA_BLOB', readFileSync(SEA_BLOB), { sentinelFuse: SEA_FUSE })
renameSync(staged, OUTPUT)
