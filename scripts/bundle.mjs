// Bundles an entry point and its dependencies into a single file.
import { build } from 'esbuild'

// Optional dependencies that are installed but can't run inside the executable.
const UNUSED_MODULES = new Set(['unix-dgram'])

// Modules that libraries load at start-up but call only for features that are disabled here: body parsers, metrics reporters,
// TextDecoder for old runtimes. With them the bundle would be twice as large, and start-up time grows with its size.
const EMPTY_MODULES = new Set(['iconv-lite', 'node-fetch', 'text-decoding', 'tr46'])

// Replaces unresolved and unused optional dependencies with modules that throw when loaded, so that the executable doesn't
// search the disk for them.
const optionalModules = {
  name: 'optional-modules',
  setup (context) {
    context.onResolve({ filter: /^[@a-z]/ }, async args => {
      if (args.pluginData === 'checking' || args.kind === 'entry-point') return undefined
      if (EMPTY_MODULES.has(args.path)) return { path: args.path, namespace: 'empty-module' }
      const found = await context.resolve(args.path, { kind: args.kind, importer: args.importer, resolveDir: args.resolveDir, pluginData: 'checking' })
      if (found.errors.length === 0 && !UNUSED_MODULES.has(args.path)) return found
      return { path: args.path, namespace: 'optional-module' }
    })
    context.onLoad({ filter: /.*/, namespace: 'empty-module' }, () => ({ contents: 'module.exports = {}' }))
    context.onLoad({ filter: /.*/, namespace: 'optional-module' }, args => {
      return { contents: `throw new Error('optional module ${args.path} is not part of the executable')` }
    })
  }
}

/** Bundles an entry point; `options` are esbuild build options and override the defaults. */
export async function bundle (entryPoint, outfile, options = {}) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    plugins: [optionalModules],
    logLevel: 'error',
    ...options,
    alias: { 'ts-results': './node_modules/ts-results/esm/index.js', ...options.alias }
  })
}
