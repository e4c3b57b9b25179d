/**
 * Finds out whether engines on which a request ran have ended. A report or a
 * refused connection tells; an engine that does not answer may only be paused, so
 * it is queried again for a while.
 */
import type {SentRequest} from 'bramleystage';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for an engine's report over a sound link, in milliseconds; a live engine answers within a few milliseconds. */
const reportTimeoutMs = 150;
/** Pause between two queries, in milliseconds. */
const queryIntervalMs = 50;

export type EngineCheckOptions = {
	readonly runs: readonly SentRequest[];
	/** Whether enough is known to go on. */
	readonly isDecided: () => boolean;
	readonly instances: Pick<InstanceWatch, 'readReport'>;
	/** Time after which engines that don't answer are queried no more, in milliseconds. */
	readonly patienceMs: number;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

type Report = Awaited<ReturnType<InstanceWatch['readReport']>>;

/** Whether a report leaves open if its engine has ended. */
const isOpen = (report: Report) =>
	report?.isErr() &&
	(report.error.kind === 'unreachable' || report.error.kind === 'lost');

/** Calls `handleResult` once the instance watch knows what can be known; the returned function ends the check. */
export function startEngineCheck(
	{
		runs,
		isDecided,
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
		const reports = await Promise.all(
			runs.map(async (run) => instances.readReport(run, timeoutMs)),
		);
		if (isStopped) {
			return;
		}

		const isOver = readClock() - startedAt >= patienceMs;
		if (isDecided() || isOver || !reports.some((report) => isOpen(report))) {
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
