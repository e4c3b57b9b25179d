/**
 * Decides which gateway may let a request through although a trait of it is to blame,
 * so that what no longer ends servers is served again. Each such probe may end one more.
 */
import {type Blame, minRounds} from './crash-blame.js';
import type {CrashEvidence} from './crash-evidence.js';

/** Ends under a form after which no request with it is let through any more. */
const maxProbedEnds = 4;

/** Requests with a trait that is to blame that are let through, in all gateways together. */
const maxProbes = 2;
/** Least time from the last crash or probe to each probe, in milliseconds. */
const probeDelaysMs = [15_000, 120_000] as const;
/** The same for a form whose ends were all in one round, as when servers end together that answer one popular request. */
const singleRoundProbeDelaysMs = [2000, 120_000] as const;
/** Time for which one gateway may probe before the next one may, in milliseconds. */
const probeTurnMs = 5000;
/** Part of each turn at its ends in which nobody probes, as gateways know the time of a crash only roughly, in milliseconds. */
const turnMarginMs = 1000;

export type ProbeContext = {
	/** Addresses of all known gateways. */
	readonly members: readonly string[];
	readonly self: string;
	/** Spreads texts evenly over 0 to below 1, alike at all gateways. */
	readonly computePlace: (text: string) => number;
};

/**
 * Decides whether a gateway may let a request through although a trait is to blame.
 * The gateways take turns, in an order of its own for each trait: one of them at a
 * time, whatever their number.
 */
export function isProbeDue(
	{trait, lastAt, rounds, formEnds}: Blame,
	evidence: CrashEvidence,
	{members, self, computePlace}: ProbeContext,
	now: number,
): boolean {
	const {count, at} = evidence.probes.get(trait) ?? {
		count: 0,
		at: Number.NEGATIVE_INFINITY,
	};
	const delaysMs =
		formEnds > 0 && rounds < minRounds
			? singleRoundProbeDelaysMs
			: probeDelaysMs;
	const delayMs = delaysMs[count] ?? Number.POSITIVE_INFINITY;
	if (
		count >= maxProbes ||
		formEnds > maxProbedEnds ||
		now - Math.max(lastAt, at) < delayMs
	) {
		return false;
	}

	const elapsedMs = now - lastAt;
	const turn = Math.floor(elapsedMs / probeTurnMs);
	const inTurnMs = elapsedMs - turn * probeTurnMs;
	if (inTurnMs < turnMarginMs || inTurnMs > probeTurnMs - turnMarginMs) {
		return false;
	}

	const sorted = [...new Set([...members, self])].toSorted();
	const place = computePlace(`${trait} ${turn}`);
	return sorted[Math.floor(place * sorted.length)] === self;
}
