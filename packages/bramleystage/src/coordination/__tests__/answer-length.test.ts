import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createRandom, type Random} from '../../protocol/random.js';
import {
	type AnswerRequest,
	computeAnswerTokens,
	createAnswerLengths,
	recordAnswerLength,
} from '../answer-length.js';

/** Draws from a normal distribution. */
const drawNormal = (random: Random) =>
	Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

type Answers = {
	/** Draws the length of an answer and what its caller says of it. */
	readonly draw: (random: Random) => AnswerRequest & {tokens: number};
};

/** Measures errors of the expected length over many answers, and of half of the maximum. */
function measureErrors({draw}: Answers, seed: number) {
	const random = createRandom(seed);
	let lengths = createAnswerLengths();
	let [sum, expectedSum, error, halfError] = [0, 0, 0, 0];
	for (let count = 0; count < 2000; count++) {
		const {tokens, ...request} = draw(random);
		const expected = computeAnswerTokens(lengths, request);
		if (count >= 100) {
			sum += tokens;
			expectedSum += expected;
			error += Math.abs(expected - tokens);
			halfError += Math.abs(request.maxTokens / 2 - tokens);
		}

		lengths = recordAnswerLength(lengths, request, tokens);
	}

	return {
		bias: expectedSum / sum,
		error: error / sum,
		halfError: halfError / sum,
	};
}

const limit = (tokens: number, maxTokens: number) =>
	Math.max(1, Math.min(maxTokens, Math.round(tokens)));

/** Answers around 120 tokens with a maximum of 1000; hints are off by a factor with the given spread. */
const drawHinted =
	(hintSpread: number, hintFactor = 1) =>
	(random: Random) => {
		const tokens = limit(120 * Math.exp(0.6 * drawNormal(random)), 1000);
		const hint =
			tokens * hintFactor * Math.exp(hintSpread * drawNormal(random));
		return {tokens, maxTokens: 1000, hintTokens: Math.round(hint)};
	};

test('without a hint and without answers half of the maximum is expected', () => {
	const none = createAnswerLengths();
	expect(computeAnswerTokens(none, {maxTokens: 400})).toBe(200);
	expect(computeAnswerTokens(none, {maxTokens: 0})).toBe(0);
});

test('before answers are known a hint counts more than half of the maximum', () => {
	const expected = computeAnswerTokens(createAnswerLengths(), {
		maxTokens: 1000,
		hintTokens: 50,
	});
	expect(expected).toBeGreaterThan(50);
	expect(expected).toBeLessThan(150);
	const unbounded = {maxTokens: 0, hintTokens: 80};
	expect(computeAnswerTokens(createAnswerLengths(), unbounded)).toBeGreaterThan(
		70,
	);
});

// Guards against paths and admissions planned for several times the tokens that answers have.
test.each([
	['hints are good', drawHinted(0.3)],
	['hints are often far off', drawHinted(0.9)],
	['hints are three times too long', drawHinted(0.3, 3)],
	['hints are a fifth', drawHinted(0.5, 0.2)],
	[
		'hints say nothing',
		(random: Random) => ({
			...drawHinted(0)(random),
			hintTokens: Math.round(Math.exp(9 * random())),
		}),
	],
	[
		'there are no hints',
		(random: Random) => ({...drawHinted(0)(random), hintTokens: undefined}),
	],
	[
		'answers are a share of maxima that differ',
		(random: Random) => {
			const maxTokens = Math.round(50 * Math.exp(4 * random()));
			const share = 0.3 * Math.exp(0.3 * drawNormal(random));
			return {maxTokens, tokens: limit(share * maxTokens, maxTokens)};
		},
	],
] as const)('the sum of lengths is right within a quarter if %s', (_, draw) => {
	for (const seed of [1, 2, 3]) {
		const {bias, error, halfError} = measureErrors({draw}, seed);
		expect(bias).toBeGreaterThan(0.75);
		expect(bias).toBeLessThan(1.25);
		expect(error).toBeLessThan(halfError);
	}
});

// Guards against hints that are worth nothing, as the route's answers alone would do.
test('hints make the estimate better the better they are', () => {
	const errors = [0.2, 0.6, 1.5].map(
		(spread) => measureErrors({draw: drawHinted(spread)}, 5).error,
	);
	const without = measureErrors(
		{
			draw: (random) => ({...drawHinted(1)(random), hintTokens: undefined}),
		},
		5,
	).error;
	expect(errors).toEqual(errors.toSorted((a, b) => a - b));
	expect(errors[0]).toBeLessThan(without / 2);
	expect(errors[2]).toBeLessThan(without * 1.1);
});

// Guards against a caller that makes its requests free or unbounded by its hint.
test('the expected length is finite, above zero and at most the maximum', () => {
	const tokens = fc.integer({min: 0, max: 1_000_000_000});
	const request = fc.record({
		maxTokens: fc.integer({min: 1, max: 1_000_000}),
		hintTokens: fc.option(tokens, {nil: undefined}),
	});
	fc.assert(
		fc.property(
			fc.array(fc.tuple(request, tokens), {maxLength: 80}),
			request,
			(answers, next) => {
				let lengths = createAnswerLengths();
				for (const [answered, length] of answers) {
					lengths = recordAnswerLength(lengths, answered, length);
				}

				const expected = computeAnswerTokens(lengths, next);
				expect(expected).toBeGreaterThan(0);
				expect(expected).toBeLessThanOrEqual(next.maxTokens);
				expect(lengths.samples.length).toBeLessThanOrEqual(64);
			},
		),
	);
});

// Guards against a route whose answers change and whose old ones count for ever.
test('answers that change are followed within 64 of them', () => {
	let lengths = createAnswerLengths();
	for (let count = 0; count < 500; count++) {
		lengths = recordAnswerLength(lengths, {maxTokens: 2000}, 50);
	}

	expect(computeAnswerTokens(lengths, {maxTokens: 2000})).toBeCloseTo(50, 0);
	for (let count = 0; count < 64; count++) {
		lengths = recordAnswerLength(lengths, {maxTokens: 2000}, 800);
	}

	expect(computeAnswerTokens(lengths, {maxTokens: 2000})).toBeGreaterThan(750);
});
