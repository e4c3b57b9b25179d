/**
 * Keeps requests that end backend servers from reaching one server after the other.
 * It tells the ledger which requests were about to be answered when an instance
 * ended and which were answered, and refuses requests that have a trait to blame.
 */
import {
	type Backend,
	createFailure,
	type Failure,
	formatInstance,
	type RequestTraits,
} from 'bramleystage';
import type {Call} from './call.js';
import {formatCrashes} from './blame-log.js';
import type {CrashLedger} from './crash-ledger.js';
import {CutCheck, type CutCheckOptions, type InstanceCut} from './cut-check.js';
import {buildSuspects, type CutRun, isBegunCut} from './crash-suspects.js';
import type {Fleet} from './fleet.js';
import {buildRequestTraits, formatContentPrefix} from './request-traits.js';
import type {RequestRecorder} from './request-recorder.js';

/** Time after which a refused caller may return, in seconds: by then a probe may have cleared the request. */
const refusedReturnSeconds = 30;
/** Time after an end of a server under a request in which it isn't sent to the last one that others need, in milliseconds; most servers are back by then. */
const spareLastMs = 3000;
const msPerSecond = 1000;

/** How far a request has come. */
export type AttemptState = {
	readonly isFirstAttempt: boolean;
	/** Whether the caller has received a part of the answer: without another attempt it ends incomplete. */
	readonly isStarted: boolean;
};

export type CrashGuardOptions = CutCheckOptions & {
	readonly fleet: Pick<Fleet, 'listUsable'>;
	readonly ledger: CrashLedger;
	readonly recorder: Pick<RequestRecorder, 'registerGauge' | 'recordCrash'>;
};

export class CrashGuard {
	readonly #cutCheck: CutCheck<CutRun>;
	/** Requests that were let through as probes. */
	readonly #probes = new WeakSet<Call>();

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
	findRefusal(
		call: Call,
		{isFirstAttempt, isStarted}: AttemptState,
	): Failure | undefined {
		if (!this.#mayBeSuspect(call)) {
			return undefined;
		}

		const {ledger, readClock} = this.options;
		const now = readClock();
		const traits = buildRequestTraits(call);
		const blame = ledger.findBlame(traits);
		if (!blame) {
			return isStarted
				? undefined
				: this.#findLastServerRefusal(call, traits, now);
		}

		const isProbe =
			isFirstAttempt && (this.#probes.has(call) || ledger.tryProbe(blame, now));
		if (isProbe) {
			this.#probes.add(call);
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

	/** Finds the reason to spare the last usable server a request that has just ended another one. */
	#findLastServerRefusal(
		{service}: Call,
		traits: RequestTraits,
		now: number,
	): Failure | undefined {
		const {fleet, ledger} = this.options;
		const spareMs = ledger.findLastFormEnd(traits) + spareLastMs - now;
		if (spareMs <= 0) {
			return undefined;
		}

		const isStanding = (backend: Backend) =>
			(!service.pipeline || backend.layers?.from === 0) &&
			!ledger.hasEnded(formatInstance(backend));
		const usable = fleet
			.listUsable(service.name, false)
			.filter((backend) => isStanding(backend));
		return usable.length > 1
			? undefined
			: createFailure(
					'contentBlocked',
					'A server ended under this request, and only one is left.',
					{retryAfterSeconds: spareMs / msPerSecond},
				);
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
