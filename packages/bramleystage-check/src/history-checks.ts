/** Registers the history checks that `npm run soak` runs. */
import {checkCallHistories} from './call-history-property.js';

export type HistoryCheck = {
	readonly name: string;
	/** Runs random histories; throws if one of them violates an invariant. */
	readonly check: (seed: number, runs: number) => void;
};

export const historyChecks: readonly HistoryCheck[] = [
	{name: 'calls', check: checkCallHistories},
];
