/** A ledger without crashes, for tests of the connections between gateways. */
import type {CrashLedger} from '../crash-ledger.js';

export const noCrashes: Pick<CrashLedger, 'acceptNews' | 'buildNews'> = {
	acceptNews: () => undefined,
	buildNews: () => ({revision: 0}),
};
