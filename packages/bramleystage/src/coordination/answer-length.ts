/**
 * Estimates how many tokens the answer of a request will have. Half of the request's maximum
 * is often far off, and so may be the estimate of its caller (the hint). Both, and the recent
 * answers of the request's route, are combined by how well each has agreed with the answers.
 *
 * Lengths are compared as logarithms, as they differ by factors. The route's answers give a
 * first estimate with its spread, the hint a second one; each weighs by the inverse of its
 * variance. Hints that say nothing have a wide spread and lose their weight.
 */

/** Answers that count for a route; the oldest ones are dropped. */
const maxSamples = 64;
/** Answers from which on their spread is known well enough. */
const minSamples = 8;
/** Spread of hint / actual before enough answers are known: a factor of 2 either way. */
const defaultHintSpread = Math.LN2;
/** Spread of the answers around half of the maximum before enough are known: a factor of 4, so that a hint weighs more. */
const defaultSpread = 2 * Math.LN2;
/** Least spread that is assumed, as few answers may agree by chance. */
const minSpread = 0.1;
/** Largest factor by which the mean is assumed to exceed the median. */
const maxMeanFactor = 2;
/** Quartiles of a normal distribution are this many standard deviations apart. */
const quartileDistance = 1.349;

export type AnswerRequest = {
	/** Answer tokens that the caller expects; absent if it does not say. */
	readonly hintTokens?: number;
	/** Answer tokens at most; 0 if the caller does not say. */
	readonly maxTokens: number;
};

/** Median and standard deviation of logarithms. */
type Spread = {readonly median: number; readonly deviation: number};

type Sample = AnswerRequest & {readonly tokens: number};

/** What the recent answers of one route show. */
export type AnswerLengths = {
	/** Oldest first. */
	readonly samples: readonly Sample[];
	/** Of the answers; absent before enough are known, as are the others. */
	readonly lengths?: Spread;
	/** Of answer / maximum. */
	readonly shares?: Spread;
	/** Of hint / answer. */
	readonly hints?: Spread;
};

export const createAnswerLengths = (): AnswerLengths => ({samples: []});

/** Records the length of a whole answer, in tokens. */
export function recordAnswerLength(
	{samples}: AnswerLengths,
	{hintTokens, maxTokens}: AnswerRequest,
	tokens: number,
): AnswerLengths {
	const recent = [
		...samples.slice(-(maxSamples - 1)),
		{hintTokens, maxTokens, tokens: Math.max(1, tokens)},
	];
	return {
		samples: recent,
		lengths: measureSpread(recent.map((sample) => sample.tokens)),
		shares: measureSpread(
			recent.flatMap((sample) =>
				sample.maxTokens > 0 ? [sample.tokens / sample.maxTokens] : [],
			),
		),
		hints: measureSpread(
			recent.flatMap((sample) =>
				sample.hintTokens === undefined
					? []
					: [Math.max(1, sample.hintTokens) / sample.tokens],
			),
		),
	};
}

/** Computes the expected length of a request's answer, in tokens; half of the maximum if nothing else is known. */
export function computeAnswerTokens(
	lengths: AnswerLengths,
	{hintTokens, maxTokens}: AnswerRequest,
): number {
	const prior = findPrior(lengths, maxTokens);
	if (hintTokens === undefined) {
		return prior ? computeMean(prior, maxTokens) : maxTokens / 2;
	}

	const hints = lengths.hints ?? {median: 0, deviation: defaultHintSpread};
	const hint = {
		median: Math.log(Math.max(1, hintTokens)) - hints.median,
		deviation: hints.deviation,
	};
	const known =
		prior ??
		(maxTokens > 0
			? {median: Math.log(maxTokens / 2), deviation: defaultSpread}
			: undefined);
	return computeMean(known ? mergeEstimates(known, hint) : hint, maxTokens);
}

/** Finds what the route's answers tell of a request with this maximum, by length or by share of the maximum, whichever varies less. */
function findPrior(
	{lengths, shares}: AnswerLengths,
	maxTokens: number,
): Spread | undefined {
	const byShare =
		shares && maxTokens > 0
			? {...shares, median: shares.median + Math.log(maxTokens)}
			: undefined;
	return byShare && lengths && byShare.deviation < lengths.deviation
		? byShare
		: (lengths ?? byShare);
}

function mergeEstimates(a: Spread, b: Spread): Spread {
	const weightA = 1 / a.deviation ** 2;
	const weightB = 1 / b.deviation ** 2;
	return {
		median: (a.median * weightA + b.median * weightB) / (weightA + weightB),
		deviation: 1 / Math.sqrt(weightA + weightB),
	};
}

/** Computes the mean of a length from its median and spread; sums of lengths need the mean. */
function computeMean({median, deviation}: Spread, maxTokens: number): number {
	const mean =
		Math.exp(median) * Math.min(maxMeanFactor, Math.exp(deviation ** 2 / 2));
	return maxTokens > 0 ? Math.min(maxTokens, mean) : mean;
}

function measureSpread(ratios: readonly number[]): Spread | undefined {
	if (ratios.length < minSamples) {
		return undefined;
	}

	const sorted = ratios
		.map((ratio) => Math.log(ratio))
		.toSorted((a, b) => a - b);
	const pickQuantile = (share: number) =>
		sorted[Math.round(share * (sorted.length - 1))] ?? 0;
	return {
		median: pickQuantile(0.5),
		deviation: Math.max(
			minSpread,
			(pickQuantile(0.75) - pickQuantile(0.25)) / quartileDistance,
		),
	};
}
