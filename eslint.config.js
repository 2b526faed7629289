import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'node_modules/**', 'journal/**'] },
  ...tseslint.configs.recommended,
);
