/** The suspects of a crash: what the requests had in common that an instance was about to answer when it ended. */
import type {RequestTrait, SentRequest, Suspicion} from 'bramleystage';
import type {Call} from './call.js';
import type {AttemptProgress} from './request-recorder.js';
import {buildRequestTraits} from './request-traits.js';

/** Suspects of one crash that a gateway reports. */
const maxReportedSuspects = 32;
/** Characters of a request's id that tell it from others. */
const maxWitnessLength = 64;

/** A run whose connection broke. */
export type CutRun = {
	readonly call: Call;
	readonly sent: SentRequest;
	readonly progress: AttemptProgress;
};

type Suspects = Map<RequestTrait, Suspicion>;

/**
 * Builds the suspects of the given runs. First come parts that no sound answer is
 * known on, then other parts, and last what only single requests have, as few are kept.
 */
export function buildSuspects(
	runs: readonly CutRun[],
	isKnownSound: (trait: RequestTrait) => boolean,
): ReadonlyMap<RequestTrait, Suspicion> {
	const shared: Suspects = new Map();
	const own: Suspects = new Map();
	for (const {call, sent} of runs) {
		const traits = buildRequestTraits(call);
		for (const trait of traits.shared) {
			addWitness(shared, trait, traits.own, sent.sentAt);
		}

		addWitness(own, traits.own, call.metadata.request, sent.sentAt);
	}

	const sorted = [...shared].toSorted(
		([a], [b]) => Number(isKnownSound(a)) - Number(isKnownSound(b)),
	);
	return new Map([...sorted, ...own].slice(0, maxReportedSuspects));
}

function addWitness(
	suspects: Suspects,
	trait: RequestTrait,
	witness: string,
	sentAt: number,
): void {
	const known = suspects.get(trait);
	const name = witness.slice(-maxWitnessLength);
	suspects.set(trait, {
		witnesses: [...new Set([...(known?.witnesses ?? []), name])],
		sentAt: Math.max(sentAt, known?.sentAt ?? sentAt),
	});
}
