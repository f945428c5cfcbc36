import { configs, plugins } from 'eslint-config-airbnb-extended';

/**
 * Airbnb's rules, formatter included (the stylistic plug-in fixes layout).
 * Each override below states why it departs from Airbnb.
 */
export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'coverage/**', 'tmp/**', 'target/**', 'vitest.config.ts'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      // Node.js module resolution wants the ending in every relative import.
      'import-x/extensions': ['error', 'ignorePackages', { ts: 'never', js: 'always' }],
      // A schema and the type inferred from it share one name and one export.
      '@typescript-eslint/no-redeclare': 'off',
      // Workspace packages are linked by npm and are declared in each package.json.
      'import-x/no-extraneous-dependencies': 'off',
      // Loops with await are sequential on purpose; for...of is native on Node.js 20.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      // It holds its signals weakly: a timeout that nothing else refers to is collected and never comes.
      'no-restricted-properties': ['error', { object: 'AbortSignal', property: 'any', message: 'Use combineSignals.' }],
      // void marks a promise whose outcome is handled inside the callee.
      'no-void': 'off',
      // Both work on every supported Node.js, although their documentation says experimental.
      'n/no-unsupported-features/node-builtins': ['error', { ignores: ['Response', 'structuredClone'] }],
      // neverthrow names its unchecked accessors so; only tests use them.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      // A cycle between packages is refused by the TypeScript project references.
      'import-x/no-cycle': 'off',
      'max-len': 'off',
      '@stylistic/max-len': ['error', { code: 110, ignoreStrings: true, ignoreTemplateLiterals: true }],
    },
  },
  {
    files: ['.ci/**', 'platform/build/**', 'packages/launcher/src/*.js'],
    rules: {
      // Steps of a script run one after the other, and the rule needs types that scripts do not have.
      'n/no-sync': 'off',
      // The starter of a CommonJS bundle is CommonJS itself.
      '@typescript-eslint/no-require-imports': 'off',
      'import-x/no-commonjs': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
];
