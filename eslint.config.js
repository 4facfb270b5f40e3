import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**'] }),
  {
    rules: {
      // A promise that is meant to run by itself is marked with a void statement.
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
