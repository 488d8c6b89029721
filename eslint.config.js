import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

export default tseslint.config(
	{ ignores: ['out/**', 'target/**', 'node_modules/**'] },
	...tseslint.configs.recommended,
	{
		files: ['src/**/*.ts', 'test/**/*.ts', 'platform/**/*.ts'],
		plugins: { jsdoc },
		rules: {
			curly: ['error', 'all'],
			eqeqeq: 'error',
			'max-lines': ['error', { max: 650, skipBlankLines: true, skipComments: true }],
			'@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
			// An interface and its service identifier share one name, as in the model of the house style.
			'@typescript-eslint/no-redeclare': 'off',
			'@typescript-eslint/no-unsafe-declaration-merging': 'off',
			'jsdoc/require-jsdoc': [
				'error',
				{
					publicOnly: true,
					require: { ClassDeclaration: true, FunctionDeclaration: true },
					contexts: [
						'ExportNamedDeclaration > TSInterfaceDeclaration',
						'ExportNamedDeclaration > TSTypeAliasDeclaration',
						'ExportNamedDeclaration > TSEnumDeclaration',
						'ExportNamedDeclaration > VariableDeclaration'
					]
				}
			]
		}
	}
);
