/** Random troubles of gateways, their links and the store. */
import type {SimulatedGateway} from './simulated-gateway.js';
import type {SimulatedNetwork} from './simulated-network.js';
import {
	type Refusal,
	type SimulatedStore,
	storePlace,
} from './simulated-store.js';
import type {TroubleHistory} from './trouble-history.js';

export const troubleKinds = [
	'pause',
	'refuse',
	'kill',
	'powerLoss',
	'stop',
	'cut',
	'storeCut',
	'loss',
	'slowStore',
	'redistribute',
] as const;
export type TroubleKind = (typeof troubleKinds)[number];

export type Trouble = {
	readonly kind: TroubleKind;
	readonly at: number;
	readonly forMs: number;
	/** Indexes of the gateways that it strikes. */
	readonly targets: readonly number[];
	readonly refusal: Refusal;
	readonly direction: 'in' | 'out' | 'both';
};

const maxTroubles = 4;
const minTroubleMs = 200;
const maxTroubleMs = 5000;
/** Longest time for which the store turns gateways away, in milliseconds: memberships lapse. */
const maxRefusalMs = 20_000;

/** Draws up to four troubles. */
export function drawTroubles(
	draw: () => number,
	{
		gateways,
		fromMs,
		untilMs,
		kinds = troubleKinds,
	}: {
		gateways: number;
		fromMs: number;
		untilMs: number;
		kinds?: readonly TroubleKind[];
	},
): Trouble[] {
	const pick = <T>(values: readonly T[]): T =>
		values[Math.floor(draw() * values.length)]!;
	return Array.from({length: 1 + Math.floor(draw() * maxTroubles)}, () => {
		const kind = pick(kinds);
		const share = kind === 'refuse' ? 0.2 + 0.7 * draw() : draw() * 0.4;
		const forMs =
			kind === 'refuse'
				? 500 + draw() * maxRefusalMs
				: minTroubleMs + draw() * maxTroubleMs;
		// The first gateways are those that all know without the store.
		const start = draw() < 0.5 ? 0 : Math.floor(draw() * gateways);
		const count = Math.max(1, Math.floor(share * gateways));
		return {
			kind,
			at: fromMs + draw() * (untilMs - fromMs) * 0.8,
			forMs,
			targets: Array.from(
				{length: count},
				(_, index) => (start + index) % gateways,
			),
			refusal: pick<Refusal>(['busy', 'reset', 'silent']),
			direction: pick<Trouble['direction']>(['in', 'out', 'both']),
		};
	}).toSorted((a, b) => a.at - b.at);
}

export type TroubleScene = {
	readonly gateways: readonly SimulatedGateway[];
	readonly network: SimulatedNetwork;
	readonly store: SimulatedStore;
	readonly history: TroubleHistory;
	readonly draw: () => number;
};

/** Brings a trouble about. */
export function startTrouble(trouble: Trouble, scene: TroubleScene): void {
	const {store, history, network, draw} = scene;
	const {now} = network.hosts;
	const until = now + trouble.forMs;
	if (trouble.kind === 'redistribute') {
		store.group.redistribute(draw);
		return;
	}

	if (trouble.kind === 'slowStore') {
		store.slowMs = 200 + draw() * 600;
		history.recordStoreTrouble(now, until);
		network.hosts.schedule(undefined, trouble.forMs, () => {
			store.slowMs = 0;
		});
		return;
	}

	for (const index of trouble.targets) {
		const gateway = scene.gateways[index];
		if (gateway) {
			startGatewayTrouble(gateway, index, {trouble, until, scene});
		}
	}
}

/** Brings a trouble about at one gateway. */
function startGatewayTrouble(
	gateway: SimulatedGateway,
	index: number,
	{
		trouble: {kind, forMs, refusal, direction},
		until,
		scene: {network, store, history},
	}: {trouble: Trouble; until: number; scene: TroubleScene},
): void {
	const {address} = gateway;
	const {hosts} = network;
	if (kind === 'refuse') {
		store.refuse(address, refusal, until);
		history.recordRefusal(index, hosts.now, until);
		return;
	}

	const restart = (isPowerLoss: boolean) => {
		if (gateway.isRunning) {
			gateway.kill({isPowerLoss});
		}

		hosts.schedule(undefined, forMs, () => {
			if (!gateway.isRunning) {
				gateway.start();
			}
		});
	};

	history.recordTrouble(index, hosts.now, until);
	switch (kind) {
		case 'pause': {
			gateway.process.pausedUntil = until;
			break;
		}

		case 'kill':
		case 'powerLoss': {
			restart(kind === 'powerLoss');
			break;
		}

		case 'stop': {
			if (gateway.isRunning) {
				gateway.stop(forMs / 2);
				hosts.schedule(undefined, forMs, () => {
					if (!gateway.isRunning) {
						gateway.start();
					}
				});
			}

			break;
		}

		case 'storeCut': {
			network.addTrouble(address, {
				kind: 'cut',
				direction,
				until,
				others: (place) => place === storePlace,
			});
			break;
		}

		default: {
			network.addTrouble(address, {
				kind: kind === 'loss' ? 'loss' : 'cut',
				direction,
				until,
			});
		}
	}
}
