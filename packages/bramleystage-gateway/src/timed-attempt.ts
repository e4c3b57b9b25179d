/**
 * Opens attempts whose time limit for the connection is longer by the delay of the
 * own network link, as it is known when the limit is reached: the link may have
 * become slow after the attempt began. A process that did not run for a while first
 * learns which connections were accepted meanwhile.
 */
import {
	type Attempt,
	type AttemptHandlers,
	type AttemptRequest,
	openAttempt,
} from './attempt.js';

/** Longest time of a timer, in milliseconds; the limits here end an attempt before. */
const maxTimerMs = 2 ** 31 - 1;
/** By how much a timer may fire early, in milliseconds. */
const timerPrecisionMs = 1;

export type ConnectLimit = {
	/** Time limit for opening a connection over a sound link, in milliseconds. */
	readonly timeoutMs: number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	readonly readClock: () => number;
};

export type OpenTimedAttempt = typeof openTimedAttempt;

/** Sends a request and reports its answer or failure to the handlers. */
export function openTimedAttempt(
	request: Omit<AttemptRequest, 'connectTimeoutMs'>,
	{timeoutMs, readLinkDelayMs, readClock}: ConnectLimit,
	handlers: AttemptHandlers,
): Attempt {
	const startedAt = readClock();
	const attempt = openAttempt(
		{...request, connectTimeoutMs: maxTimerMs},
		{
			...handlers,
			onEnd() {
				stopTimers();
				handlers.onEnd();
			},
			onFail(failure) {
				stopTimers();
				handlers.onFail(failure);
			},
		},
	);
	const checkConnection = () => {
		if (attempt.isSent()) {
			return;
		}

		const waitedMs = readClock() - startedAt;
		const leftMs = timeoutMs + readLinkDelayMs() - waitedMs;
		if (leftMs > timerPrecisionMs) {
			timer = setTimeout(checkConnection, leftMs);
			return;
		}

		immediate = setImmediate(() => {
			if (!attempt.isSent()) {
				attempt.cancel();
				handlers.onFail({
					isSent: false,
					isRefused: false,
					detail: `No connection within ${Math.round(waitedMs)} ms.`,
				});
			}
		});
	};

	let immediate: NodeJS.Immediate | undefined;
	let timer = setTimeout(checkConnection, timeoutMs);
	const stopTimers = () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};

	return {
		...attempt,
		cancel() {
			stopTimers();
			attempt.cancel();
		},
	};
}
