/**
 * Keeps requests that end backend servers from reaching one server after the other.
 * It tells the ledger which requests were about to be answered when an instance
 * ended and which were answered, and refuses requests that have a trait to blame.
 */
import {createFailure, type Failure} from 'bramleystage';
import type {Call} from './call.js';
import {
	CrashLedger,
	type CrashLedgerOptions,
	formatCrashes,
} from './crash-ledger.js';
import {checkConnection} from './connection-check.js';
import {CutCheck, type CutCheckOptions, type InstanceCut} from './cut-check.js';
import {buildSuspects, type CutRun, isBegunCut} from './crash-suspects.js';
import {buildRequestTraits, formatContentPrefix} from './request-traits.js';
import type {RequestRecorder} from './request-recorder.js';

/** Time after which a refused caller may return, in seconds: by then a probe may have cleared the request. */
const refusedReturnSeconds = 30;

export type CrashGuardOptions = CutCheckOptions & {
	readonly ledger: CrashLedger;
	readonly recorder: Pick<RequestRecorder, 'registerGauge' | 'recordCrash'>;
};

export class CrashGuard {
	readonly #cutCheck: CutCheck<CutRun>;

	constructor(private readonly options: CrashGuardOptions) {
		const {ledger, recorder} = options;
		this.#cutCheck = new CutCheck(options, (cut) => {
			this.#recordCrash(cut);
		});
		recorder.registerGauge(
			'blocked_traits',
			'Parts of prompts or contents that are to blame for ends of servers',
			() => ledger.blamedCount,
		);
	}

	/** Finds the reason to send a request to no server; the first attempt may be let through as a probe. */
	findRefusal(call: Call, isFirstAttempt: boolean): Failure | undefined {
		const {ledger, readClock} = this.options;
		const now = readClock();
		const blame = this.#mayBeSuspect(call)
			? ledger.findBlame(buildRequestTraits(call))
			: undefined;
		if (!blame || (isFirstAttempt && ledger.tryProbe(blame, now))) {
			return undefined;
		}

		ledger.recordRefusal(blame, now);
		const {trait} = blame;
		return createFailure(
			'contentBlocked',
			`Servers ended under requests with ${trait}: ${formatCrashes(blame, now)}.`,
			{retryAfterSeconds: refusedReturnSeconds},
		);
	}

	/** Whether other requests like this one may have ended a server. */
	isSuspect(call: Call): boolean {
		return (
			this.#mayBeSuspect(call) &&
			this.options.ledger.hasSuspectTrait(buildRequestTraits(call))
		);
	}

	/** Computes how many servers may end under a request before it is repeated no more. */
	computeAllowedEnds(call: Call): number {
		return this.options.ledger.computeAllowedEnds(buildRequestTraits(call));
	}

	/** Records that the connection of a run broke; resolves to whether its instance has ended, as far as is known soon. */
	async recordCut(
		call: Call,
		{sent, progress}: Omit<CutRun, 'call'>,
	): Promise<boolean> {
		return this.#cutCheck.recordCut(sent, {call, sent, progress});
	}

	/** Records that a request got a sound answer. */
	recordSound(call: Call): void {
		const {ledger, readClock} = this.options;
		if (call.metadata.promptParts.length > 0 || this.#mayBeSuspect(call)) {
			ledger.recordSound(buildRequestTraits(call), readClock());
		}
	}

	/** Whether the traits of a request are worth computing: a content is hashed only if others of its service are suspect. */
	#mayBeSuspect(call: Call): boolean {
		const {ledger} = this.options;
		return (
			ledger.hasCrashes &&
			(call.metadata.promptParts.length > 0 ||
				ledger.hasSuspects(formatContentPrefix(call)))
		);
	}

	/** Records the end of an instance; the runs that were about to be answered are suspects. */
	#recordCrash({instance, at, runs, isRepeated}: InstanceCut<CutRun>): void {
		const {ledger, recorder} = this.options;
		const suspects = buildSuspects(runs, (trait) => ledger.isKnownSound(trait));
		if (!isRepeated) {
			recorder.recordCrash(instance, [...suspects.keys()], runs.length);
		}

		if (suspects.size > 0) {
			ledger.recordCrash({
				instance,
				endedAt: at,
				citedAt: at,
				isBegun: isBegunCut(runs),
				suspects,
			});
		}
	}
}

/** Creates a guard with a ledger of its own. */
export function createCrashGuard(
	options: CrashLedgerOptions &
		Omit<CrashGuardOptions, 'ledger' | 'checkConnection'>,
): {readonly ledger: CrashLedger; readonly crashGuard: CrashGuard} {
	const ledger = new CrashLedger(options);
	const crashGuard = new CrashGuard({...options, ledger, checkConnection});
	return {ledger, crashGuard};
}
