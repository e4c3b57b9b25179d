// Lint rules: XO with its own format, the order of the library's layers, and
// the verbs that function names begin with (docs/VERBS.md).
const verbs = [
	'advance|append|apply|build|cancel|check|choose|close|compare|compute|create|decide|decode',
	'describe|encode|explore|find|fold|follow|format|handle|has|is|list|load|main|measure|merge',
	'open|parse|plan|print|read|record|refuse|register|release|remove|run|select|send|serve|start|stop',
	'to|update|validate|wait|write',
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
	{ignores: ['**/dist/**']},
	{
		prettier: true,
		rules: {
			'no-restricted-syntax': [
				'error',
				{
					selector: `FunctionDeclaration[id.name!=/^(${verbs})([A-Z]|$)/]`,
					message: 'Function names begin with a verb listed in docs/VERBS.md.',
				},
			],
		},
	},
	restrictImports('protocol', ['state', 'coordination', 'transport']),
	restrictImports('state', ['coordination', 'transport']),
	restrictImports('coordination', ['transport']),
	restrictImports('transport', ['coordination']),
];
