import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toInstanceKey} from '../../protocol/ids.js';
import {
	applyLimitNews,
	createServerLimits,
	findServerLimit,
	type LimitAnswer,
	minServerLimit,
	parseServerLimit,
	recordLimitAnswer,
	type ServerLimits,
} from '../server-limits.js';

const instance = toInstanceKey('d1@1');

/** Records answers as `[limit, sentAt, arrivedAt]`. */
const recordAll = (
	answers: ReadonlyArray<readonly [number | undefined, number, number]>,
): ServerLimits => {
	let limits = createServerLimits();
	for (const [perSecond, sentAt, arrivedAt] of answers) {
		limits = recordLimitAnswer(
			limits,
			instance,
			{perSecond, sentAt} satisfies LimitAnswer,
			arrivedAt,
		);
	}

	return limits;
};

test.each([
	['2.5', 2.5],
	[' 3 ', 3],
	['0', minServerLimit],
	['0.0001', minServerLimit],
	['99999999', Number.POSITIVE_INFINITY],
	['-1', undefined],
	['1e3', undefined],
	['many', undefined],
	['', undefined],
])('the text "%s" is read as %s', (text, expected) => {
	expect(parseServerLimit(text)).toBe(expected);
});

test('a limit ends only by an answer to a request that was sent after the last answer that named it', () => {
	const named = [[2, 0, 10]] as const;
	expect(
		findServerLimit(recordAll([...named, [undefined, 9, 50]]), instance),
	).toBe(2);
	expect(
		findServerLimit(recordAll([...named, [undefined, 10, 50]]), instance),
	).toBeUndefined();
});

test('a late answer to an older request does not begin an ended limit again', () => {
	const ended = [
		[2, 0, 10],
		[undefined, 20, 30],
	] as const;
	expect(
		findServerLimit(recordAll([...ended, [2, 15, 900]]), instance),
	).toBeUndefined();
	expect(findServerLimit(recordAll([...ended, [3, 31, 40]]), instance)).toBe(3);
});

test('a limit falls at once, and rises only by a newer answer', () => {
	expect(
		findServerLimit(
			recordAll([
				[8, 0, 10],
				[1, 5, 20],
			]),
			instance,
		),
	).toBe(1);
	const risen = [
		[1, 0, 20],
		[8, 19, 30],
	] as const;
	expect(findServerLimit(recordAll(risen), instance)).toBe(1);
	expect(findServerLimit(recordAll([...risen, [8, 21, 40]]), instance)).toBe(8);
});

test('gateways that exchange all they know agree, in whatever order they hear of it', () => {
	const newsArbitrary = fc.record({
		perSecond: fc.constantFrom(undefined, 1, 2, 8),
		revision: fc.integer({min: 1, max: 4}),
	});
	const applyAll = (
		items: ReadonlyArray<Parameters<typeof applyLimitNews>[2]>,
	) => {
		let limits = createServerLimits();
		for (const item of items) {
			limits = applyLimitNews(limits, instance, item, 0);
		}

		return findServerLimit(limits, instance);
	};

	fc.assert(
		fc.property(
			fc.array(newsArbitrary, {minLength: 1, maxLength: 12}).chain((news) =>
				fc.tuple(
					fc.constant(news),
					fc.shuffledSubarray(news, {
						minLength: news.length,
						maxLength: news.length,
					}),
				),
			),
			([news, shuffled]) => {
				expect(applyAll(news)).toBe(applyAll(shuffled));
			},
		),
	);
});
