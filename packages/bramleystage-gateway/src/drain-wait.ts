/** Waits for the requests of a draining gateway. */
import {type Logger, waitFor} from 'bramleystage';
import type {CallerServer} from './caller-server.js';
import {
	computeAcceptUntil,
	computeEndAt,
	type DrainTimes,
} from './drain-policy.js';
import type {OpenCalls} from './open-calls.js';

/** How often a draining gateway checks whether all requests have ended, in milliseconds. */
const drainCheckMs = 100;
/** Time for the last answers to reach their callers, in milliseconds. */
const lastAnswersMs = 250;

/** Waits until no request is open and none is accepted any more, or until the gateway has to end them. */
async function waitForOpenRequests(
	times: DrainTimes,
	countOpenRequests: () => number,
	readClock: () => number,
): Promise<void> {
	const endAt = computeEndAt(times);
	const acceptUntil = computeAcceptUntil(times);
	const isBusy = () => countOpenRequests() > 0 || readClock() < acceptUntil;
	while (isBusy() && readClock() < endAt) {
		// Polls until all requests have ended.
		// eslint-disable-next-line no-await-in-loop
		await waitFor(drainCheckMs);
	}
}

/** Waits for the open requests and for those that are arriving on open connections; those that are left get a last answer. */
export async function waitForCallers(
	callers: CallerServer,
	openCalls: Pick<OpenCalls, 'stop'>,
	times: DrainTimes,
	{logger, readClock}: {logger: Logger; readClock: () => number},
): Promise<void> {
	await waitForOpenRequests(
		times,
		() => callers.countOpenRequests(),
		readClock,
	);
	openCalls.stop();
	const leftMs = computeEndAt(times) - readClock();
	await callers.drain(Math.max(lastAnswersMs, leftMs));
	logger.info('gateway.stopped', {in_flight: callers.countOpenRequests()});
}
