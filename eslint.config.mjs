import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: resolveIgnoresFromGitignore() }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-use-before-define': 'off',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  }
]
