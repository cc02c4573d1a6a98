import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**', 'reports/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', { max: 420, skipComments: true, skipBlankLines: true }]
    }
  },
  {
    files: ['src/base/common/**', 'src/core/common/**', 'src/ports/common/**'],
    rules: {
      'no-restricted-imports': ['error', { patterns: ['node:*', '**/node/**', '**/adapters/**', '**/actors/**'] }],
      'no-restricted-globals': ['error', 'process', 'Date', 'setTimeout', 'setInterval', 'performance'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }]
    }
  }
]
