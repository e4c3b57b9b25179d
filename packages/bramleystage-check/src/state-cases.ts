/** Random cases of gateways that follow the configuration while something fails. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	drawTroubles,
	type Trouble,
	type TroubleKind,
} from './state-troubles.js';

/** Time from the first start to the first change, in milliseconds. */
export const trafficFromMs = 6000;

/** Time in which a change must be in force at small sites and at all others, in milliseconds. */
const smallInForceMs = 2000;
const inForceMs = 3000;
/** Gateways of a small site. */
const maxSmallGateways = 8;

export type StateCase = {
	readonly seed: number;
	readonly gateways: number;
	/** Time in which a change must be in force, in milliseconds. */
	readonly inForceMs: number;
	/** Time between two versions, in milliseconds. */
	readonly changeIntervalMs: number;
	/** Longest transfer of a version, in milliseconds. */
	readonly maxTransferMs: number;
	readonly troubles: readonly Trouble[];
	readonly endMs: number;
};

/** Draws to skip: the first ones of neighbouring seeds are alike. */
const skippedDraws = 40;

/** Creates a source of numbers from 0 to below 1. */
export function createDraw(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	const draw = () => generator.next() / 2 ** 32 + 0.5;
	for (let index = 0; index < skippedDraws; index++) {
		draw();
	}

	return draw;
}

/** Draws a case; `kinds` restricts its troubles. */
export function drawStateCase(
	seed: number,
	{maxGateways, kinds}: {maxGateways: number; kinds?: readonly TroubleKind[]},
): StateCase {
	const draw = createDraw(seed);
	const gateways = 2 + Math.floor(draw() ** 2 * (maxGateways - 1));
	const endMs = 40_000;
	return {
		seed,
		gateways,
		inForceMs: gateways <= maxSmallGateways ? smallInForceMs : inForceMs,
		changeIntervalMs: 300 + draw() * 2000,
		maxTransferMs: draw() < 0.3 ? 500 : 20,
		troubles: drawTroubles(draw, {
			gateways,
			fromMs: trafficFromMs,
			untilMs: endMs - 4000,
			kinds,
		}),
		endMs,
	};
}

/**
 * Draws a case in which the store turns away just those gateways that it lists as
 * members: the memberships of the others lapse, and those that joined again own no
 * partition before the members renew.
 */
export function drawIslandCase(seed: number): StateCase {
	const draw = createDraw(seed);
	const pick = <T>(values: readonly T[]): T =>
		values[Math.floor(draw() * values.length)]!;
	const listed = pick([0, 1, 2]);
	const refusal = pick<Trouble['refusal']>(['busy', 'reset', 'silent']);
	const startMs = trafficFromMs + 5000 + draw() * 3000;
	const base = {forMs: 5000, refusal, direction: 'both' as const};
	const refuse = {...base, kind: 'refuse' as const};
	return {
		seed,
		gateways: 5,
		inForceMs: smallInForceMs,
		changeIntervalMs: 600,
		maxTransferMs: 30,
		troubles: [
			{
				...refuse,
				at: startMs,
				targets: [0, 1, 2, 3, 4].filter((index) => index !== listed),
			},
			{...refuse, at: startMs + 8000, targets: [0, 1, 2]},
			{
				...base,
				kind: 'kill' as const,
				at: startMs + 9000 + draw() * 500,
				forMs: 300,
				targets: [pick([3, 4])],
			},
		],
		endMs: 30_000,
	};
}

/**
 * Single failures and the time in which a version must be in force beside each, in
 * milliseconds (docs/CONFIGURATION.md), with what a transfer may take on top.
 */
export const singleFailures = [
	{
		name: 'a gateway that others inform loses the store',
		kind: 'refuse',
		target: 4,
		inForceMs: 560,
	},
	{
		name: 'the gateway that informs the others loses power',
		kind: 'powerLoss',
		target: 0,
		inForceMs: 1110,
	},
	{
		name: 'the gateway that informs the others loses the store',
		kind: 'refuse',
		target: 0,
		inForceMs: 1670,
	},
] as const;

const maxSingleTransferMs = 20;
/** What the delays of links and the intervals of checks add, in milliseconds. */
const singleSlackMs = 60;

/** Draws a case with one failure in a group of five. */
export function drawSingleFailureCase(
	seed: number,
	{kind, target, inForceMs}: (typeof singleFailures)[number],
): StateCase {
	const draw = createDraw(seed);
	const refusals = ['busy', 'reset', 'silent'] as const;
	return {
		seed,
		gateways: 5,
		inForceMs: inForceMs + singleSlackMs,
		changeIntervalMs: 700 + draw() * 2000,
		maxTransferMs: maxSingleTransferMs,
		troubles: [
			{
				kind,
				at: trafficFromMs + 1000 + draw() * 3000,
				forMs: 7000,
				targets: [target],
				refusal: refusals[Math.floor(draw() * refusals.length)]!,
				direction: 'both',
			},
		],
		endMs: 20_000,
	};
}
