/** The suspects of a crash: what the requests had in common that an instance was about to answer when it ended. */
import type {RequestTrait, SentRequest, Suspicion} from 'bramleystage';
import type {Call} from './call.js';
import type {AttemptProgress} from './request-ends.js';
import {buildRequestTraits} from './request-traits.js';

/** Suspects of one crash that a gateway reports. */
const maxReportedSuspects = 48;
/** Characters of a request's id that tell it from others. */
const maxWitnessLength = 64;

/** A run whose connection broke. */
export type CutRun = {
	readonly call: Call;
	readonly sent: SentRequest;
	readonly progress: AttemptProgress;
};

/** Whether the answer of any of the runs had begun, and is not known to be sound. */
export const isBegunCut = (runs: readonly CutRun[]): boolean =>
	runs.some(({progress}) => progress === 'head');

type Suspects = Map<RequestTrait, Suspicion>;

/**
 * Builds the suspects of the given runs. First come parts that no sound answer is
 * known on, then other parts, and last the forms of single requests, as few are kept.
 * Where an answer had begun, parts of requests that still waited are no suspects; their
 * forms are, as a server may end before it has sent the head of an answer.
 */
export function buildSuspects(
	runs: readonly CutRun[],
	isKnownSound: (trait: RequestTrait) => boolean,
): ReadonlyMap<RequestTrait, Suspicion> {
	const shared: Suspects = new Map();
	const forms: Suspects = new Map();
	const isBegun = isBegunCut(runs);
	for (const {call, sent, progress} of runs) {
		if (progress === 'events') {
			continue;
		}

		const traits = buildRequestTraits(call);
		const {sentAt} = sent;
		const parts = isBegun && progress === 'none' ? [] : traits.shared;
		for (const trait of parts) {
			addWitness(shared, trait, {witness: traits.own, sentAt});
		}

		for (const [form, trait] of traits.forms.entries()) {
			const witness = call.metadata.request;
			addWitness(forms, trait, {witness, sentAt, form});
		}
	}

	const sorted = [...shared].toSorted(
		([a], [b]) => Number(isKnownSound(a)) - Number(isKnownSound(b)),
	);
	return new Map([...sorted, ...forms].slice(0, maxReportedSuspects));
}

function addWitness(
	suspects: Suspects,
	trait: RequestTrait,
	{witness, sentAt, form}: {witness: string; sentAt: number; form?: number},
): void {
	const known = suspects.get(trait);
	const name = witness.slice(-maxWitnessLength);
	suspects.set(trait, {
		witnesses: [...new Set([...(known?.witnesses ?? []), name])],
		sentAt: Math.max(sentAt, known?.sentAt ?? sentAt),
		form,
	});
}
