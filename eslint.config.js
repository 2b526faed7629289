import { importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

const UNTYPED_ERROR = {
  selector: "ThrowStatement > NewExpression[callee.name='Error']",
  message: 'Throw a class of its own, so that callers can tell what failed.',
};
const UNNAMED_NUMBER = {
  // Statuses of HTTP are names of their own.
  selector: ':function Literal[raw=/^(?![1-5][0-9][0-9]$)[0-9][0-9_]{2,}$|^[0-9]*[.][0-9]+$/]',
  message: 'Give the number a name with its unit.',
};

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
        // `return onResult(null)` ends a function early; the value is never used.
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
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
      'object-shorthand': 'error',
      'import-x/no-cycle': 'error',
      'max-lines': ['error', { max: 300 }],
      'max-lines-per-function': ['error', { max: 50 }],
      complexity: ['error', 12],
      'max-depth': ['error', 3],
      'max-params': ['error', { max: 5 }],
      'no-restricted-syntax': ['error', UNTYPED_ERROR],
    },
  },
  {
    files: ['packages/*/src/**'],
    ignores: ['packages/testing/src/**', '**/*.test.ts'],
    rules: { 'no-restricted-syntax': ['error', UNTYPED_ERROR, UNNAMED_NUMBER] },
  },
  {
    // A test reads what its scenario has set up; where that is missing, the test fails.
    files: ['packages/testing/src/**'],
    rules: { '@typescript-eslint/no-non-null-assertion': 'off' },
  },
);
