/** Signal handling of the subcommands that run a process until a signal stops it. */
import process from 'node:process';
import type {CleanUp} from 'bramleystage';

/** A process with a graceful (`drain`) and an immediate (`stop`) shutdown. */
export type Stoppable = {
	readonly drain: CleanUp;
	readonly stop: CleanUp;
};

/**
 * Drains the process at the first SIGTERM or SIGINT and resolves when it is
 * drained. A second signal exits the process immediately with code 1.
 */
export async function waitForStop({drain, stop}: Stoppable): Promise<void> {
	await new Promise<void>((resolve) => {
		let signalCount = 0;
		const onSignal = async () => {
			signalCount++;
			if (signalCount === 1) {
				await drain();
				resolve();
			} else {
				void stop();
				process.exit(1);
			}
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
}
