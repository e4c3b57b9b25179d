/** Runs the example scripts as an operator would. */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {deploymentNames} from 'bramleystage-site';
import {expect, test} from 'vitest';

async function runScript(name: string, args: readonly string[]) {
	const path = fileURLToPath(
		new URL(`../../../../examples/${name}`, import.meta.url),
	);
	const child = spawn(process.execPath, [path, ...args]);
	const chunks: string[] = [];
	const collect = (chunk: unknown) => chunks.push(String(chunk));
	child.stdout.on('data', collect);
	child.stderr.on('data', collect);
	const code = await new Promise<number | null>((resolve) => {
		child.once('close', resolve);
	});
	return {code, output: chunks.join('')};
}

test.each(deploymentNames)(
	'the site of %s as separate processes answers every sample correctly and shuts down gracefully',
	async (name) => {
		const {code, output} = await runScript('run-processes.mjs', [
			'--deployment',
			name,
		]);
		expect(output).not.toContain('WRONG');
		expect(output.match(/: right: /gv), output).toHaveLength(8);
		expect(code).toBe(0);
	},
);

test('print-commands prints one command for each process', async () => {
	const {code, output} = await runScript('print-commands.mjs', []);
	expect(code).toBe(0);
	expect(output.match(/^node \S+ (?:agent|entry|stand-in) /gmv)).toHaveLength(
		17,
	);
	expect(output.match(/^node \S+ table import /gmv)).toHaveLength(1);
	expect(output.match(/^curl -X PUT /gmv)).toHaveLength(9);
});
