import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	addRequestTokens,
	createRetryTokens,
	spendRetryToken,
	updateRetryTokens,
} from '../retry-tokens.js';

const windowMs = 1000;
const bounds = {ratio: 0.2, slack: 40, windowMs, share: 0.5};

test('a process that starts has no tokens, and earns its slack within a window', () => {
	let bucket = updateRetryTokens(createRetryTokens(0), bounds, 0, 0);
	expect(spendRetryToken(bucket)).toBeUndefined();
	let spent = 0;
	for (let now = 0; now <= windowMs; now += 10) {
		bucket = updateRetryTokens(bucket, bounds, 0, now);
		const next = spendRetryToken(bucket);
		spent += next ? 1 : 0;
		bucket = next ?? bucket;
	}

	expect(spent).toBeGreaterThanOrEqual(0.7 * bounds.slack * bounds.share);
	expect(spent).toBeLessThanOrEqual(bounds.slack * bounds.share);
});

test('where no process has run before, the bucket is full once there is a share', () => {
	const unshared = updateRetryTokens(
		createRetryTokens(0, true),
		{...bounds, share: 0},
		0,
		100,
	);
	const bucket = updateRetryTokens(unshared, bounds, 0, 200);
	expect(bucket.tokens).toBeCloseTo(0.25 * 0.95 * bounds.slack * bounds.share);
});

test('requests earn retries at once', () => {
	let bucket = updateRetryTokens(createRetryTokens(0), bounds, 0, 0);
	for (let request = 1; request <= 7; request++) {
		bucket = addRequestTokens(bucket, bounds);
	}

	expect(
		spendRetryToken(updateRetryTokens(bucket, bounds, 7, 0)),
	).toBeDefined();
});

test('a share that was lost and is back earns nothing for the time between', () => {
	const full = updateRetryTokens(
		updateRetryTokens(createRetryTokens(0), bounds, 0, 0),
		bounds,
		0,
		windowMs,
	);
	const lost = updateRetryTokens(full, {...bounds, share: 0}, 0, windowMs);
	expect(lost.tokens).toBe(0);
	const back = updateRetryTokens(lost, bounds, 0, 5 * windowMs);
	expect(back.tokens).toBe(0);
});

test('a share of less than one retry in a window pays for none', () => {
	const tiny = {...bounds, share: 0.02};
	const empty = updateRetryTokens(createRetryTokens(0), tiny, 0, 0);
	const later = updateRetryTokens(empty, tiny, 0, 100 * windowMs);
	expect(spendRetryToken(later)).toBeUndefined();
});

// Guards against retries that processes spend anew for what ended ones had been given.
test('gateways stay within ratio and slack in every window, however often they start anew', () => {
	const step = fc.record({
		gateway: fc.nat({max: 2}),
		kind: fc.constantFrom('request', 'request', 'retry', 'restart'),
		count: fc.integer({min: 1, max: 30}),
		pauseMs: fc.nat({max: 300}),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 120}), (steps) => {
			const share = 1 / 3;
			const shared = {...bounds, share};
			let now = 0;
			const buckets = [0, 1, 2].map(() => createRetryTokens(0));
			const requests: Array<{gateway: number; at: number}> = [];
			/** Requests of the running process of each gateway. */
			const own: number[][] = [[], [], []];
			const retries: number[] = [];
			const countBetween = (times: readonly number[], end: number) =>
				times.filter((at) => at > end - windowMs && at <= end).length;
			const update = (gateway: number, at: number) =>
				updateRetryTokens(
					buckets[gateway]!,
					shared,
					countBetween(own[gateway]!, at),
					at,
				);
			for (const {gateway, kind, count, pauseMs} of steps) {
				now += pauseMs;
				buckets[gateway] = update(gateway, now);
				if (kind === 'restart') {
					buckets[gateway] = createRetryTokens(now);
					own[gateway] = [];
				}

				for (let index = 0; index < count; index++) {
					if (kind === 'request') {
						requests.push({gateway, at: now});
						own[gateway]!.push(now);
						buckets[gateway] = addRequestTokens(buckets[gateway], shared);
						buckets[gateway] = update(gateway, now);
					} else if (kind === 'retry') {
						const next = spendRetryToken(buckets[gateway]);
						if (next) {
							buckets[gateway] = next;
							retries.push(now);
						}
					}
				}

				const sentAt = requests.map(({at}) => at);
				const counted = Math.max(
					countBetween(sentAt, now),
					countBetween(sentAt, now - windowMs),
				);
				expect(countBetween(retries, now)).toBeLessThanOrEqual(
					bounds.ratio * counted + bounds.slack,
				);
			}
		}),
		{numRuns: 300, seed: 56},
	);
});
