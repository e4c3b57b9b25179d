/** What keeps the limits that servers name: the watch of the limits, and turns at the servers. */
import {LimitedChoice} from './limited-choice.js';
import {LimitWatch, type LimitWatchOptions} from './limit-watch.js';
import {Permits, type PermitsOptions} from './permits.js';

export type LimitControl = {
	readonly limits: LimitWatch;
	readonly permits: Permits;
};

/** Creates the choice between limited servers and others; `readControl` is called when something is chosen. */
export const createLimitedChoice = (
	readControl: () => LimitControl,
): LimitedChoice =>
	new LimitedChoice({
		findLimit: (id) => readControl().limits.findLimit(id),
		countWaiting: (id) => readControl().permits.countWaiting(id),
		drawRandom: Math.random,
	});

export function createLimitControl(
	options: LimitWatchOptions & Omit<PermitsOptions, 'limits'>,
): LimitControl {
	const limits = new LimitWatch(options);
	return {limits, permits: new Permits({...options, limits})};
}
