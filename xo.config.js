// Lint rules: XO with its own format, the order of the library's layers, and
// the verbs that function names begin with (docs/VERBS.md).
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
			// Prettier lays out the braces.
			'@stylistic/curly-newline': 'off',
			// Sockets, files and cbor-x speak Buffer.
			'@typescript-eslint/no-restricted-types': 'off',
			'n/prefer-global/buffer': 'off',
			// A brand is put on a value by an assertion.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Event emitters of Node take async listeners.
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
		// Kinds of limits, columns of the table, fields of the OpenAI-compatible interface and of
		// the stand-ins' interfaces have their own spelling.
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
		// Test tools are dependencies of the workspace root.
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
