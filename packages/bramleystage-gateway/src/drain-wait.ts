/** Waits for the requests of a draining gateway. */
import {type Logger, waitFor} from 'bramleystage';
import type {CallerServer} from './caller-server.js';
import {
	computeAcceptUntil,
	computeEndAt,
	type DrainTimes,
} from './drain-policy.js';

/** How often a draining gateway checks whether all requests have ended, in milliseconds. */
const drainCheckMs = 100;

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

/** Waits for the open requests and for those that are arriving on open connections. */
export async function waitForCallers(
	callers: CallerServer,
	times: DrainTimes,
	logger: Logger,
	readClock: () => number,
): Promise<void> {
	await waitForOpenRequests(
		times,
		() => callers.countOpenRequests(),
		readClock,
	);
	await callers.drain(computeEndAt(times) - readClock());
	logger.info('gateway.stopped', {in_flight: callers.countOpenRequests()});
}
