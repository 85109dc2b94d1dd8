import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: [...resolveIgnoresFromGitignore(), '**/generated/**'] }),
  {
    files: ['test/**/*.ts', 'platform/test/**/*.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  }
]
