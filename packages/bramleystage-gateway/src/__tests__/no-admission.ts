/** An admission of calls that learns nothing. */
import type {RunContext} from '../run-context.js';

export const noAdmission: RunContext['admission'] = {
	recordDelay: () => undefined,
	recordEnd: () => undefined,
};
