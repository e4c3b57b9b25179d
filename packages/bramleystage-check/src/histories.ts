/** The history checks that `npm run soak` runs; a further one is a line here. */
import {checkCallHistories} from './call-history-property.js';

export type HistoryCheck = {
	readonly name: string;
	/** Runs random histories; throws if one breaks a rule. */
	readonly check: (seed: number, runs: number) => void;
};

export const histories: readonly HistoryCheck[] = [
	{name: 'calls', check: checkCallHistories},
];
