import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	applyLinkEvent,
	computeLinkDelayMs,
	createLinkDelay,
	createLinkPace,
	decideLinkPace,
	type LinkDelay,
	maxLinkDelayMs,
} from '../link-delay.js';

const pingIntervalMs = 300;

const send = (state: LinkDelay, peer: string, now: number) =>
	applyLinkEvent(state, {kind: 'pingSent', peer, sentAt: now}, now);
const repeat = (
	state: LinkDelay,
	{peer, sentAt, heldMs = 0}: {peer: string; sentAt: number; heldMs?: number},
	now: number,
) => applyLinkEvent(state, {kind: 'pingRepeated', peer, sentAt, heldMs}, now);

test('without peers there is no delay', () => {
	expect(computeLinkDelayMs(createLinkDelay(), 5000)).toBe(0);
});

test('the time for which a peer held a ping is no delay, nor are later repetitions of it', () => {
	let state = send(createLinkDelay(), 'a', 1000);
	state = repeat(state, {peer: 'a', sentAt: 1000, heldMs: 40}, 1060);
	expect(computeLinkDelayMs(state, 1060)).toBe(20);
	state = repeat(state, {peer: 'a', sentAt: 1000, heldMs: 40}, 1250);
	expect(computeLinkDelayMs(state, 1250)).toBe(20);
});

test('an unanswered ping counts once it is older than the last round trip', () => {
	let state = send(createLinkDelay(), 'a', 1000);
	state = repeat(state, {peer: 'a', sentAt: 1000}, 1020);
	state = send(state, 'a', 1300);
	expect(computeLinkDelayMs(state, 1310)).toBe(20);
	expect(computeLinkDelayMs(state, 1500)).toBe(200);
	expect(computeLinkDelayMs(state, 1900)).toBe(maxLinkDelayMs);
});

test('an answer to a later ping answers the earlier ones', () => {
	let state = send(createLinkDelay(), 'a', 1000);
	state = send(state, 'a', 1300);
	state = repeat(state, {peer: 'a', sentAt: 1300}, 1310);
	expect(computeLinkDelayMs(state, 1400)).toBe(10);
});

test('a ping that was only just sent to a new peer does not hide a delay', () => {
	let state = send(createLinkDelay(), 'a', 1000);
	state = send(state, 'b', 1190);
	expect(computeLinkDelayMs(state, 1200)).toBe(200);
	state = repeat(state, {peer: 'b', sentAt: 1190}, 1210);
	expect(computeLinkDelayMs(state, 1210)).toBe(20);
});

test('samples that are too old and peers whose connection ended do not count', () => {
	const state = send(createLinkDelay(), 'a', 1000);
	expect(computeLinkDelayMs(state, 2001)).toBe(0);
	const closed = applyLinkEvent(state, {kind: 'peerClosed', peer: 'a'}, 1200);
	expect(computeLinkDelayMs(closed, 1200)).toBe(0);
	const later = send(state, 'b', 2500);
	expect([...later.keys()]).toEqual(['b']);
});

test('a link is slow above a delay, and normal again only after some time below another', () => {
	let pace = decideLinkPace(createLinkPace(), 90, 0);
	expect(pace.isSlow).toBe(false);
	pace = decideLinkPace(pace, 120, 100);
	expect(pace.isSlow).toBe(true);
	pace = decideLinkPace(pace, 40, 200);
	pace = decideLinkPace(pace, 70, 900);
	pace = decideLinkPace(pace, 40, 1000);
	pace = decideLinkPace(pace, 40, 1900);
	expect(pace.isSlow).toBe(true);
	expect(decideLinkPace(pace, 40, 2000).isSlow).toBe(false);
});

type Message = {
	readonly peer: string;
	readonly sentAt: number;
	readonly arrivesAt: number;
};

/**
 * Plays pings to two peers, each millisecond in turn. The own link adds `delayMs`
 * until `endAt` to the round trip of `tripMs`; messages keep their order.
 * `diesAt` is when peer b stops answering. Returns the computed delay at each
 * millisecond.
 */
function runPings({
	tripMs,
	delayMs,
	startAt,
	endAt,
	diesAt,
	untilMs,
}: Readonly<
	Record<
		'tripMs' | 'delayMs' | 'startAt' | 'endAt' | 'diesAt' | 'untilMs',
		number
	>
>): number[] {
	let state = createLinkDelay();
	let messages: Message[] = [];
	const delays: number[] = [];
	for (let now = 0; now < untilMs; now++) {
		for (const {peer, sentAt} of messages.filter(
			({arrivesAt}) => arrivesAt <= now,
		)) {
			state = repeat(state, {peer, sentAt}, now);
		}

		messages = messages.filter(({arrivesAt}) => arrivesAt > now);
		for (const [peer, offsetMs] of [
			['a', 0],
			['b', 110],
		] as const) {
			if (now % pingIntervalMs !== offsetMs) {
				continue;
			}

			state = send(state, peer, now);
			if (peer === 'a' || now < diesAt) {
				const isDelayed = now >= startAt && now < endAt;
				// What the link still holds when the delay ends arrives at once.
				const arrivesAt = isDelayed
					? Math.min(now + tripMs + delayMs, Math.max(now, endAt) + tripMs)
					: now + tripMs;
				messages.push({peer, sentAt: now, arrivesAt});
			}
		}

		delays.push(computeLinkDelayMs(state, now));
	}

	return delays;
}

test('the delay is within its bounds, not raised by one dead peer, and ends with its cause', () => {
	fc.assert(
		fc.property(
			fc.record({
				tripMs: fc.integer({min: 1, max: 40}),
				delayMs: fc.integer({min: 60, max: 900}),
				startAt: fc.integer({min: 600, max: 1200}),
				lengthMs: fc.integer({min: 400, max: 1500}),
				diesAt: fc.integer({min: 0, max: 4000}),
			}),
			({tripMs, delayMs, startAt, lengthMs, diesAt}) => {
				const endAt = startAt + lengthMs;
				const delays = runPings({
					tripMs,
					delayMs,
					startAt,
					endAt,
					diesAt,
					untilMs: 4500,
				});
				const isAllowed = (delay: number, now: number) => {
					const isSound =
						now < startAt || now > endAt + pingIntervalMs + tripMs;
					return delay >= 0 && delay <= (isSound ? tripMs : maxLinkDelayMs);
				};

				expect(delays).toHaveLength(4500);
				expect(delays.findIndex((delay, now) => !isAllowed(delay, now))).toBe(
					-1,
				);

				// One interval after its begin, the delay is seen as far as it has lasted.
				const seenAt = startAt + pingIntervalMs + Math.min(delayMs, 80);
				expect(delays[seenAt]).toBeGreaterThanOrEqual(Math.min(delayMs, 80));
			},
		),
		{seed: 25, numRuns: 100},
	);
});

test('no order of events leads out of the bounds', () => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					kind: fc.constantFrom('pingSent', 'pingRepeated', 'peerClosed'),
					peer: fc.constantFrom('a', 'b', 'c'),
					pauseMs: fc.nat({max: 400}),
					ping: fc.nat({max: 9}),
					heldMs: fc.integer({min: -500, max: 5000}),
				}),
				{maxLength: 80},
			),
			(steps) => {
				let state = createLinkDelay();
				let now = 0;
				const sent: number[] = [];
				for (const {kind, peer, pauseMs, ping, heldMs} of steps) {
					now += pauseMs;
					if (kind === 'pingSent') {
						sent.push(now);
						state = send(state, peer, now);
					} else if (kind === 'pingRepeated') {
						state = repeat(
							state,
							{peer, sentAt: sent.at(-ping) ?? now, heldMs},
							now,
						);
					} else {
						state = applyLinkEvent(state, {kind, peer}, now);
					}

					const delayMs = computeLinkDelayMs(state, now);
					expect(delayMs).toBeGreaterThanOrEqual(0);
					expect(delayMs).toBeLessThanOrEqual(maxLinkDelayMs);
				}
			},
		),
		{seed: 25},
	);
});
