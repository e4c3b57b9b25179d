/** A caller that stays. */
import type {Call} from '../call.js';

export const stayingCaller: Call['caller'] = {
	hasLeft: false,
	registerLeave: () => () => undefined,
};
