/** Subcommands that run one process of the system until it is told to stop. */
import process from 'node:process';
import type {CleanUp} from 'bramleystage';

/** A process that can leave in order or end at once. */
export type Stoppable = {
	readonly drain: CleanUp;
	readonly stop: CleanUp;
};

/** Drains at the first SIGTERM or SIGINT and ends at once at the second. */
export async function waitForStop({drain, stop}: Stoppable): Promise<void> {
	await new Promise<void>((resolve) => {
		let signals = 0;
		const onSignal = async () => {
			signals++;
			if (signals === 1) {
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
