// Lint rules that follow the Google TypeScript Style Guide: named exports,
// snake_case files, no `any`, no namespaces, strict equality.
import checkFile from 'eslint-plugin-check-file';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**']},
  ...tseslint.configs.recommendedTypeChecked,
  prettier,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: {'check-file': checkFile},
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'check-file/filename-naming-convention': [
        'error',
        {'**/*.ts': 'SNAKE_CASE'},
        {ignoreMiddleExtensions: true},
      ],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {selector: 'TSEnumDeclaration', message: 'Use a string union.'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: ['function', 'method'], format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'allow',
        },
        {selector: 'variable', modifiers: ['destructured'], format: null},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'inline-type-imports'},
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'off',
      '@typescript-eslint/require-await': 'off',
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'prefer-const': 'error',
      'max-lines': ['error', {max: 500, skipBlankLines: false}],
      'max-lines-per-function': [
        'error',
        {max: 80, skipBlankLines: true, skipComments: true},
      ],
    },
  },
  {
    // The time of day jumps on users' hosts: nothing may be decided by it but
    // through the clock that is passed in. Programs that only measure, stand-ins
    // and fixtures run on hosts of their own.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: [
      'packages/clock/**',
      'packages/{demo,fakes,stand-ins,unrepeatable-bench}/**',
      'platform/src/stand_ins/**',
      '**/{measure_main,stress_main}.ts',
      '**/*{fixture,fixtures,test}.ts',
    ],
    rules: {
      'no-restricted-properties': [
        'error',
        ...[
          ['Date', 'now'],
          ['performance', 'now'],
          ['performance', 'timeOrigin'],
          ['process', 'hrtime'],
          ['Math', 'random'],
        ].map(([object, property]) => ({
          ...{object, property},
          message: 'Take the clock or the random source that is passed in.',
        })),
      ],
    },
  },
  {
    files: ['packages/**/*.test.ts', 'platform/**/*.test.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    ...tseslint.configs.disableTypeChecked,
  },
);
