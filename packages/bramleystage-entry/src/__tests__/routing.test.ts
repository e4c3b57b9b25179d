import {
	type ConnectedHost,
	createHosts,
	type HostsSnapshot,
	toDataCentreId,
	toHostId,
	toIncarnation,
	toModelName,
	updateConnectedHost,
} from 'bramleystage';
import {describe, expect, it} from 'vitest';
import {Router} from '../routing.js';

const model = toModelName('model');
const request = {
	model,
	version: '1',
	layers: 16,
	promptTokens: 10,
	answerTokens: 10,
};

const createHost = (
	name: string,
	fromLayer: number,
	toLayer: number,
): ConnectedHost => ({
	host: toHostId(name),
	address: '127.0.0.1:1',
	dataCentre: toDataCentreId('a'),
	incarnation: toIncarnation('1'),
	leaving: false,
	offers: [
		{
			kind: 'layers',
			model,
			version: '1',
			fromLayer,
			toLayer,
			acceleratorKind: 'large',
			layerTokensPerSecond: 100_000,
		},
	],
	load: {queued: 0, running: 0, rate: 0},
	reportedAt: 0,
	roundTripMs: 0,
});

const createSnapshot = (hosts: readonly ConnectedHost[]): HostsSnapshot => {
	let snapshot = createHosts();
	for (const host of hosts) {
		snapshot = updateConnectedHost(snapshot, host);
	}

	return snapshot;
};

const createRouter = () =>
	new Router({drawIndex: () => 0, candidatesPerRange: 4});

describe('Router', () => {
	it('names the uncovered layers and counts the failed choice', () => {
		const router = createRouter();
		const hosts = createSnapshot([createHost('a', 0, 8)]);
		const failure = router
			.chooseStages(hosts, request, [], 0)
			._unsafeUnwrapErr();
		expect(failure.result).toBe('noPipeline');
		expect(failure.detail).toContain('8-15');
		expect(router.uncoveredChoices).toBe(1);
	});

	it('stops sending work to a draining or excluded host at once', () => {
		const router = createRouter();
		const [a, b, c] = ['a', 'b', 'c'].map((name) => createHost(name, 0, 16));
		if (!a || !b || !c) {
			throw new Error('No hosts.');
		}

		const choose = (hosts: HostsSnapshot) =>
			router
				.chooseStages(hosts, request, [c.host], 0)
				.map((stages) => stages.map(({host}) => host))
				.unwrapOr([]);
		expect(choose(createSnapshot([a, b, c]))).not.toContain(c.host);
		const leaving = createSnapshot([{...a, leaving: true}, b, c]);
		expect(choose(leaving)).toEqual([b.host]);
	});

	it('rebuilds the index for a new host when the cached one leaves layers uncovered', () => {
		const router = createRouter();
		const a = createHost('a', 0, 8);
		const b = createHost('b', 8, 16);
		expect(
			router.chooseStages(createSnapshot([a]), request, [], 0).isErr(),
		).toBe(true);
		expect(
			router.chooseStages(createSnapshot([a, b]), request, [], 1).isOk(),
		).toBe(true);
	});

	it('spreads load between reports and removes the load of a lost host', () => {
		const router = createRouter();
		const a = createHost('a', 0, 16);
		const b = createHost('b', 0, 16);
		const hosts = createSnapshot([a, b]);
		const used = [0, 1].map((now) =>
			router
				.chooseStages(hosts, request, [], now)
				.map(([stage]) => stage?.host)
				.unwrapOr(undefined),
		);
		expect(new Set(used).size).toBe(2);
		expect(router.loads.size).toBe(2);
		router.receive({type: 'lost', host: a});
		expect(router.loads.size).toBe(1);
	});
});
