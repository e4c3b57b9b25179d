/** Runs the built command as a child process, for tests of its external behaviour. */
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const commandPath = fileURLToPath(
	new URL('../../dist/main.js', import.meta.url),
);

export type StartedCommand = {
	readonly child: ChildProcess;
	/** Words of the first line that it prints, such as `listening 127.0.0.1:80`. */
	readonly firstLineWords: readonly string[];
	/** Resolves with the exit code; undefined if a signal ended the process. */
	readonly ended: Promise<number | undefined>;
};

/** Runs the command to its end; returns its exit code, standard output and standard error. */
export async function runCommand(
	args: readonly string[],
	environment: Readonly<Record<string, string>> = {},
): Promise<{code: number | undefined; output: string; errors: string}> {
	const child = spawn(process.execPath, [commandPath, ...args], {
		env: {...process.env, ...environment},
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

/** Starts the command; resolves at the first line that it prints. */
export async function startCommand(
	args: readonly string[],
): Promise<StartedCommand> {
	const child = spawn(process.execPath, [commandPath, ...args], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const ended = waitForEnd(child);
	const line = await new Promise<string>((resolve, reject) => {
		child.stdout.once('data', (chunk) => {
			resolve(String(chunk));
		});
		child.once('close', () => {
			reject(
				new Error(`${args.join(' ')} ended before it printed its address.`),
			);
		});
	});
	return {child, firstLineWords: line.trim().split(' '), ended};
}

async function waitForEnd(child: ChildProcess): Promise<number | undefined> {
	return new Promise((resolve) => {
		child.once('close', (code) => {
			resolve(code ?? undefined);
		});
	});
}
