import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const packages = [
	'bramleystage',
	'bramleystage-stand-ins',
	'bramleystage-agent',
	'bramleystage-entry',
	'bramleystage-site',
	'bramleystage-bench',
	'bramleystage-check',
	'bramleystage-command',
	'bramleystage-gateway',
];

export default defineConfig({
	resolve: {
		alias: packages.map((name) => ({
			find: new RegExp(`^${name}$`),
			replacement: fileURLToPath(
				new URL(`packages/${name}/src/index.ts`, import.meta.url),
			),
		})),
	},
	test: {
		include: ['{packages/*,platform}/src/**/__tests__/*.test.ts'],
		testTimeout: 60_000,
	},
});
