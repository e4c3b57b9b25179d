/**
 * Random cases of gateways whose callers' attempts fail while gateways are killed, started,
 * added and removed, and the store and links fail, several of these at once.
 */
import {createDraw, trafficFromMs} from './state-cases.js';
import type {Trouble} from './state-troubles.js';
import type {RetrySettings} from './simulated-gateway.js';
import type {Refusal} from './simulated-store.js';

export type RetryCase = {
	readonly seed: number;
	readonly gateways: number;
	/** When each gateway that joins later starts, by its index, in milliseconds. */
	readonly joinsAt: ReadonlyMap<number, number>;
	readonly retries: RetrySettings;
	/** Requests a second of all callers at a time in milliseconds. */
	readonly measureRate: (now: number) => number;
	/** Share of the attempts that fail at a time in milliseconds. */
	readonly measureFailures: (now: number) => number;
	readonly troubles: readonly Trouble[];
	readonly endMs: number;
};

const endMs = 36_000;
const failuresFromMs = trafficFromMs + 4000;
const failuresUntilMs = endMs - 6000;
/** Time from a kill to the next start, in milliseconds. */
const restartMs = 300;

type Draws = {
	readonly draw: () => number;
	readonly gateways: number;
};

const pickTargets = ({draw, gateways}: Draws, share: number): number[] => {
	const order = Array.from({length: gateways}, (_, index) => ({
		index,
		at: draw(),
	})).toSorted((a, b) => a.at - b.at);
	return order
		.slice(0, Math.max(1, Math.ceil(share * gateways)))
		.map(({index}) => index);
};

const base = {refusal: 'silent', direction: 'both'} as const;

/** Draws one to seven kills of many gateways in a row. */
function drawKills(draws: Draws): Trouble[] {
	const {draw} = draws;
	const share = 0.3 + 0.7 * draw();
	const gapMs = 700 + draw() * 4000;
	const kind = draw() < 0.3 ? 'powerLoss' : 'kill';
	const from = failuresFromMs + draw() * 6000;
	return Array.from({length: 1 + Math.floor(draw() * 7)}, (_, index) => ({
		...base,
		kind,
		at: from + index * gapMs,
		forMs: restartMs + draw() * 300,
		targets: pickTargets(draws, share),
	}));
}

/** Draws a trouble of some gateways that runs beside the kills. */
function drawBesides(draws: Draws): Trouble {
	const {draw} = draws;
	const kinds = [
		'refuse',
		'refuse',
		'storeCut',
		'cut',
		'pause',
		'loss',
		'slowStore',
		'redistribute',
		'removal',
	] as const;
	const kind = kinds[Math.floor(draw() * kinds.length)]!;
	const isRemoval = kind === 'removal';
	const refusals: Refusal[] = ['busy', 'reset', 'silent'];
	return {
		kind: isRemoval ? 'kill' : kind,
		at: failuresFromMs - 3000 + draw() * 14_000,
		forMs: isRemoval ? endMs : 500 + draw() * (kind === 'pause' ? 6000 : 9000),
		targets: pickTargets(
			draws,
			kind === 'refuse' ? 0.3 + 0.6 * draw() : 0.4 * draw(),
		),
		refusal: refusals[Math.floor(draw() * refusals.length)]!,
		direction: (['in', 'out', 'both'] as const)[Math.floor(draw() * 3)]!,
	};
}

/** Draws a case. */
export function drawRetryCase(
	seed: number,
	{maxGateways}: {maxGateways: number},
): RetryCase {
	const draw = createDraw(seed);
	const gateways = 3 + Math.floor(draw() ** 2 * (maxGateways - 2));
	const draws = {draw, gateways};
	const rate = 40 + draw() * 160;
	const [phaseMs, periodMs] = [draw() * 10_000, 4000 + draw() * 12_000];
	const isSteady = draw() < 0.6;
	const failureShare = 0.6 + 0.4 * draw();
	const isJoined = draw() < 0.25;
	return {
		seed,
		gateways,
		joinsAt: new Map(
			isJoined
				? pickTargets(draws, 0.3 * draw()).map((index) => [
						index,
						failuresFromMs + draw() * 12_000,
					])
				: [],
		),
		retries: {
			retryRatio: 0.2,
			retrySlack: Math.round(190 + draw() * 2 * gateways),
			retryWindowMs: 10_000,
		},
		measureRate: (now) =>
			isSteady || (now + phaseMs) % periodMs < periodMs / 2 ? rate : rate / 10,
		measureFailures: (now) =>
			now >= failuresFromMs && now < failuresUntilMs ? failureShare : 0,
		troubles: [
			...(draw() < 0.8 ? drawKills(draws) : []),
			...Array.from({length: Math.floor(draw() * 3)}, () => drawBesides(draws)),
		].toSorted((a, b) => a.at - b.at),
		endMs,
	};
}
