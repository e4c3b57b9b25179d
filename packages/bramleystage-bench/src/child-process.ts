/** Processes of the system that a bench starts, and ends by their id. */
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
	/** Address that the process printed. */
	readonly address: string;
	/** Address of its operators' port, for daemons. */
	readonly operatorAddress: string;
	/** Ends the process at once, as a crash would. */
	readonly kill: () => void;
};

/** Starts a subcommand of `bramleystage`; resolves when it says its address. */
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
			reject(new Error(`No address in time: ${title}`));
		}, startTimeoutMs);
		if (child.stdout) {
			readline.createInterface({input: child.stdout}).once('line', (line) => {
				clearTimeout(timer);
				resolve(line);
			});
		}

		child.on('exit', () => {
			clearTimeout(timer);
			reject(new Error(`Ended before it listened: ${title}`));
		});
	});
}
