/** A measurement of demand that learns nothing. */
import type {RunContext} from '../run-context.js';

export const noDemand: RunContext['demand'] = {
	countExpectedTokens: ({metadata}) =>
		metadata.promptTokens + metadata.maxAnswerTokens / 2,
	recordAnswer: () => undefined,
};
