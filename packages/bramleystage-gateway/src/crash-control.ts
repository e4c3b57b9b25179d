/** Creates all that keeps requests which end backend servers from further ones. */
import {checkConnection} from './connection-check.js';
import {CrashGuard, type CrashGuardOptions} from './crash-guard.js';
import {CrashLedger, type CrashLedgerOptions} from './crash-ledger.js';
import {
	type CrashMemory,
	type CrashMemoryOptions,
	startCrashMemory,
} from './crash-memory.js';

export type CrashControlOptions = CrashLedgerOptions &
	Omit<CrashGuardOptions, 'ledger' | 'checkConnection'> &
	Omit<CrashMemoryOptions, 'ledger' | 'readEra' | 'readWallClock'> & {
		readonly fleet: {readonly storeEra: number | undefined};
	};

export type CrashControl = {
	readonly ledger: CrashLedger;
	readonly crashGuard: CrashGuard;
	readonly memory: CrashMemory;
};

export function createCrashControl(options: CrashControlOptions): CrashControl {
	const {fleet} = options;
	const ledger = new CrashLedger(options);
	const crashGuard = new CrashGuard({...options, ledger, checkConnection});
	const memory = startCrashMemory({
		...options,
		ledger,
		readEra: () => fleet.storeEra,
		readWallClock: Date.now,
	});
	return {ledger, crashGuard, memory};
}
