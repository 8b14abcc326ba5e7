import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

const testCalls = { from: 'package', name: ['describe', 'it', 'test'], package: 'node:test' };

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', '**/.scratch/**', 'target/**', 'journal/**'] },
  eslint.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-floating-promises': ['error', { allowForKnownSafeCalls: [testCalls] }],
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['warn', { max: 300, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly', URL: 'readonly' } },
  },
);
