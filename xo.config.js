// Lint rules: XO with Prettier, the allowed imports between the library's layers,
// and the verbs that names of function declarations begin with (docs/VERBS.md).
const verbs = [
	'accept|add|advance|append|apply|build|cancel|carry|check|choose',
	'close|compare|compute|count|create|decide|decode|describe|draw',
	'encode|explore|extend|find|fold|follow|format|handle|has|is|list',
	'listen|load|main|measure|merge|open|parse|pick|place|plan|print',
	'publish|read|record|refuse|register|reject|release|remove|replace',
	'resolve|restore|run|select|send|serve|settle|sort|spend|split',
	'start|stop|take|to|try|update|validate|wait|write',
].join('|');

const restrictImports = (layer, forbidden) => ({
	files: [`packages/bramleystage/src/${layer}/*.ts`],
	rules: {
		'no-restricted-imports': [
			'error',
			{
				patterns: forbidden.map((name) => ({
					regex: String.raw`^\.\./${name}/`,
					message: `Layer ${layer} must not import layer ${name}.`,
				})),
			},
		],
	},
});

export default [
	{ignores: ['**/dist/**', '*.config.ts']},
	{
		prettier: true,
		rules: {
			// Conflicts with Prettier, which formats braces.
			'@stylistic/curly-newline': 'off',
			// Sockets, files and cbor-x use Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
			'n/prefer-global/buffer': 'off',
			// Branded types need type assertions.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Async functions are used as listeners of Node.js event emitters.
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{considerDefaultExhaustiveForUnions: true},
			],
			'no-restricted-syntax': [
				'error',
				{
					selector: `FunctionDeclaration[id.name!=/^(${verbs})([A-Z]|$)/]`,
					message: 'Function names begin with a verb listed in docs/VERBS.md.',
				},
			],
		},
	},
	{
		// Kinds of limits, table columns, and fields of the OpenAI-compatible and stand-in APIs
		// don't follow the naming convention.
		files: [
			'packages/bramleystage/src/{protocol/table-columns,protocol/table-schema,coordination/limit-members}.ts',
			'packages/bramleystage-entry/src/*.ts',
			'{packages/*,platform}/src/**/__tests__/*.ts',
			'packages/bramleystage-{command,site,bench,gateway}/src/*.ts',
			'platform/src/*.ts',
		],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		files: [
			'packages/bramleystage-{command,check}/src/*.ts',
			'platform/src/main.ts',
		],
		rules: {'unicorn/no-process-exit': 'off'},
	},
	{
		// Test dependencies are declared in the workspace root.
		files: ['{packages/*,platform}/src/**/__tests__/*.ts'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			'no-await-in-loop': 'off',
		},
	},
	restrictImports('protocol', ['state', 'coordination', 'transport']),
	restrictImports('state', ['coordination', 'transport']),
	restrictImports('coordination', ['transport']),
	restrictImports('transport', ['coordination']),
];
