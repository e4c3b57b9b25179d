/** Waits for the requests of a draining gateway. */
import {waitFor} from 'bramleystage';
import {
	computeAcceptUntil,
	computeEndAt,
	type DrainTimes,
} from './drain-policy.js';

/** How often a draining gateway checks whether all requests have ended, in milliseconds. */
const drainCheckMs = 100;

/** Waits until no request is open and none is accepted any more, or until the gateway has to end them. */
export async function waitForOpenRequests(
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
