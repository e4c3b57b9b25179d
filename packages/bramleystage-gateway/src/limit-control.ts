/** What keeps the limits that servers name: the watch of the limits, and turns at the servers. */
import {LimitWatch, type LimitWatchOptions} from './limit-watch.js';
import {Permits, type PermitsOptions} from './permits.js';

export type LimitControl = {
	readonly limits: LimitWatch;
	readonly permits: Permits;
};

export function createLimitControl(
	options: LimitWatchOptions & Omit<PermitsOptions, 'limits'>,
): LimitControl {
	const limits = new LimitWatch(options);
	return {limits, permits: new Permits({...options, limits})};
}
