/** Starts and kills the processes of the system under test. */
import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import readline from 'node:readline';
import {fileURLToPath} from 'node:url';

const commandPath = fileURLToPath(
	new URL('../../bramleystage-command/dist/main.js', import.meta.url),
);
const startTimeoutMs = 20_000;

export type RunningChild = {
	readonly child: ChildProcess;
	/** Address that the process listens on, as printed by it. */
	readonly address: string;
	/** Address of the operators' port; empty for processes without one. */
	readonly operatorAddress: string;
	/** Kills the process without a graceful shutdown, as a crash would. */
	readonly kill: () => void;
};

/**
 * Starts a subcommand of `bramleystage`. Resolves when it prints its address;
 * rejects if it exits before, or prints nothing within 20 s.
 */
export async function startChild(
	parameters: readonly string[],
): Promise<RunningChild> {
	const child = spawn(process.execPath, [commandPath, ...parameters], {
		stdio: ['ignore', 'pipe', 'ignore'],
	});
	const line = await readFirstLine(child, parameters.join(' '));
	const [, address = '', , operatorAddress = ''] = line.split(' ');
	return {
		child,
		address,
		operatorAddress,
		kill() {
			child.kill('SIGKILL');
		},
	};
}

async function readFirstLine(
	child: ChildProcess,
	title: string,
): Promise<string> {
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
			reject(
				new Error(`The process did not print its address in time: ${title}`),
			);
		}, startTimeoutMs);
		if (child.stdout) {
			readline.createInterface({input: child.stdout}).once('line', (line) => {
				clearTimeout(timer);
				resolve(line);
			});
		}

		child.on('exit', () => {
			clearTimeout(timer);
			reject(
				new Error(`The process exited before it printed its address: ${title}`),
			);
		});
	});
}
