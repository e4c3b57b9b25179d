import {expect, test} from 'vitest';
import {runCommand} from './start-command.js';

const subcommands = [
	'site',
	'entry',
	'agent',
	'dump',
	'bench',
	'table',
	'table show',
	'table set',
	'table import',
	'table export',
	'table history',
	'stand-in',
	'stand-in platform',
	'stand-in engine',
	'stand-in service',
];

test.each(subcommands)('the help of %s has an example', async (name) => {
	const {code, output} = await runCommand([...name.split(' '), '--help']);
	expect(code).toBe(0);
	expect(output).toMatch(/Examples:\s+bramleystage/v);
});

test('--help and --version exit with 0', async () => {
	const help = await runCommand(['--help']);
	expect(help.code).toBe(0);
	expect(help.output).toContain('bramleystage entry');
	const version = await runCommand(['--version']);
	expect(version.code).toBe(0);
	expect(version.output).toMatch(/^\d+\.\d+\.\d+\n$/v);
});

test('all setting errors are reported together, with exit code 2', async () => {
	const {code, errors} = await runCommand(['entry', '--heartbeat-ms', '-1'], {
		BRAMLEYSTAGE_PLATFORM: 'nowhere',
		BRAMLEYSTAGE_LOG_LEVEL: 'loud',
	});
	expect(code).toBe(2);
	const flags = errors
		.trim()
		.split('\n')
		.map((line) => /--(?<flag>[a-z\-]+)/v.exec(line)?.groups?.flag);
	expect(flags.toSorted((a, b) => (a ?? '').localeCompare(b ?? ''))).toEqual([
		'data-centre',
		'heartbeat-ms',
		'host',
		'log-level',
		'platform',
	]);
});

test('an agent needs either an engine or a service with a name', async () => {
	const common = ['--host', 'a', '--data-centre', 'b', '--platform', 'c:1'];
	const neither = await runCommand(['agent', ...common]);
	expect(neither.code).toBe(2);
	expect(neither.errors).toContain('exactly one');
	const unnamed = await runCommand([
		'agent',
		...common,
		'--service',
		'http://127.0.0.1:1',
	]);
	expect(unnamed.code).toBe(2);
	expect(unnamed.errors).toContain('--service-name');
});

test('an unknown flag and an unknown subcommand exit with 2', async () => {
	const flag = await runCommand(['site', '--nonsense']);
	expect(flag.code).toBe(2);
	const subcommand = await runCommand(['nonsense']);
	expect(subcommand.code).toBe(2);
});
