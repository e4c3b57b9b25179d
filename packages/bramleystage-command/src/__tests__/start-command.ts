/** Runs the built command in a process of its own, for tests from outside. */
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const commandPath = fileURLToPath(
	new URL('../../dist/main.js', import.meta.url),
);

export type StartedCommand = {
	readonly child: ChildProcess;
	/** Words of its first line, such as `listening 127.0.0.1:80`. */
	readonly words: readonly string[];
	readonly ended: Promise<number | undefined>;
};

/** Runs the command to its end; gives its code and what it wrote. */
export async function runCommand(
	words: readonly string[],
	variables: Readonly<Record<string, string>> = {},
): Promise<{code: number | undefined; output: string; errors: string}> {
	const child = spawn(process.execPath, [commandPath, ...words], {
		env: {...process.env, ...variables},
	});
	let output = '';
	let errors = '';
	child.stdout.on('data', (chunk) => {
		output += String(chunk);
	});
	child.stderr.on('data', (chunk) => {
		errors += String(chunk);
	});
	const code = await waitForEnd(child);
	return {code, output, errors};
}

/** Starts the command; resolves at the first line that it writes. */
export async function startCommand(
	words: readonly string[],
): Promise<StartedCommand> {
	const child = spawn(process.execPath, [commandPath, ...words], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const ended = waitForEnd(child);
	const line = await new Promise<string>((resolve, reject) => {
		child.stdout.once('data', (chunk) => {
			resolve(String(chunk));
		});
		child.once('close', () => {
			reject(new Error(`${words.join(' ')} ended before it listened.`));
		});
	});
	return {child, words: line.trim().split(' '), ended};
}

async function waitForEnd(child: ChildProcess): Promise<number | undefined> {
	return new Promise((resolve) => {
		child.once('close', (code) => {
			resolve(code ?? undefined);
		});
	});
}
