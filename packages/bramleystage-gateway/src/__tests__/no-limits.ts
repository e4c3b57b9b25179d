/** Servers that name no limit. */
import type {LimitWatch} from '../limit-watch.js';

export const noLimits: Pick<LimitWatch, 'recordAnswer' | 'recordSend'> = {
	recordAnswer: () => undefined,
	recordSend: () => undefined,
};
