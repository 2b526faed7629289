import { importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'node_modules/**', 'journal/**', 'eslint.config.js'] },
  ...tseslint.configs.strictTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { jsdoc, 'import-x': importX },
    rules: {
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        // `return done(null)` ends a callback early; the value is never used.
        {
          ignoreArrowShorthand: true,
          ignoreVoidOperator: true,
          ignoreVoidReturningFunctions: true,
        },
      ],
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: 'test', package: 'node:test' }] },
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true },
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
      'object-shorthand': 'error',
      'import-x/no-cycle': 'error',
      'max-lines': ['error', { max: 300 }],
      'max-lines-per-function': ['error', { max: 50 }],
      complexity: ['error', 12],
      'max-depth': ['error', 3],
    },
  },
  {
    // A test reads what its scenario has set up; where that is missing, the test fails.
    files: ['packages/testing/src/**'],
    rules: { '@typescript-eslint/no-non-null-assertion': 'off' },
  },
);
