/**
 * Finds out whether the engine of a run that was cut off has ended. A report or a
 * refused connection tells; an engine that does not answer may only be paused, so
 * it is queried again for a while.
 */
import type {PathStage} from 'bramleystage';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for an engine's report over a sound link, in milliseconds; a live engine answers within a few milliseconds. */
const reportTimeoutMs = 150;
/** Pause between two queries, in milliseconds. */
const queryIntervalMs = 50;

export type EngineCheckOptions = {
	readonly stage: PathStage;
	readonly instances: Pick<InstanceWatch, 'readReport'>;
	/** Time after which an engine that doesn't answer is queried no more, in milliseconds. */
	readonly patienceMs: number;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

/** Calls `handleResult` once the instance watch knows what can be known; the returned function ends the check. */
export function startEngineCheck(
	{
		stage,
		instances,
		patienceMs,
		readClock,
		readLinkDelayMs,
	}: EngineCheckOptions,
	handleResult: () => void,
): () => void {
	const startedAt = readClock();
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	const query = async () => {
		const timeoutMs = reportTimeoutMs + readLinkDelayMs();
		const report = await instances.readReport(stage, timeoutMs);
		if (isStopped) {
			return;
		}

		const isUnknown =
			report?.isErr() &&
			(report.error.kind === 'unreachable' || report.error.kind === 'lost');
		if (!isUnknown || readClock() - startedAt >= patienceMs) {
			handleResult();
			return;
		}

		timer = setTimeout(() => {
			void query();
		}, queryIntervalMs);
	};

	void query();
	return () => {
		isStopped = true;
		clearTimeout(timer);
	};
}
