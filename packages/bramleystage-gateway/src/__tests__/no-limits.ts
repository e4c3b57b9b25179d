/** Servers that name no limit. */
import type {LimitWatch} from '../limit-watch.js';
import type {Permits} from '../permits.js';

export const noLimits: Pick<
	LimitWatch,
	'acceptNews' | 'buildNews' | 'findLimit' | 'recordAnswer' | 'recordSend'
> = {
	acceptNews: () => undefined,
	buildNews: () => ({changeCount: 0}),
	findLimit: () => undefined,
	recordAnswer: () => undefined,
	recordSend: () => undefined,
};

export const noPermits: Pick<Permits, 'acquire' | 'tryAcquire'> = {
	acquire(_id, _request, handleResult) {
		handleResult({granted: true});
		return () => undefined;
	},
	tryAcquire: async () => true,
};
