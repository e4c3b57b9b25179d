import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	toDataCentreId,
	toHostId,
	toIncarnation,
	toModelName,
} from '../../protocol/ids.js';
import {LoadTracker} from '../../state/load-tracker.js';
import {
	buildCandidateGroups,
	selectCandidates,
	type StageCandidate,
} from '../stage-candidates.js';
import {
	choosePipeline,
	createStages,
	formatLayers,
	type Pipeline,
	type PipelineCosts,
} from '../pipeline.js';
import {computeStageWork, createRouteCosts} from '../route-cost.js';

type CandidateFacts = {
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly dataCentre?: string;
	readonly rate?: number;
};

const createCandidate = (
	{fromLayer, toLayer, dataCentre = 'a', rate = 100_000}: CandidateFacts,
	index: number,
): StageCandidate => {
	const offer = {
		kind: 'layers',
		model: toModelName('model'),
		version: '1',
		fromLayer,
		toLayer,
		acceleratorKind: 'large',
		layerTokensPerSecond: rate,
	} as const;
	const host = {
		host: toHostId(`host-${index}`),
		address: '127.0.0.1:1',
		dataCentre: toDataCentreId(dataCentre),
		incarnation: toIncarnation('1'),
		leaving: false,
		offers: [offer],
		load: {queued: 0, running: 0, rate: 0},
		reportedAt: 0,
		roundTripMs: 0,
	};
	return {host, offer};
};

const createCandidates = (facts: readonly CandidateFacts[]) =>
	facts.map((fact, index) => createCandidate(fact, index));
const layerCosts: PipelineCosts = {
	stageCost: ({offer}, layers) => (layers * 1e6) / offer.layerTokensPerSecond,
	linkCost: (from, to) =>
		from.host.dataCentre === to.host.dataCentre ? 1 : 100,
};
const formatPipeline = (pipeline: Pipeline) =>
	createStages(pipeline)
		.map((stage) => `${stage.host}[${stage.fromLayer}-${stage.toLayer})`)
		.join('>');
function listLayers(
	spans: ReadonlyArray<{fromLayer: number; toLayer: number}>,
): number[] {
	return spans.flatMap(({fromLayer, toLayer}) =>
		Array.from({length: toLayer - fromLayer}, (_, at) => fromLayer + at),
	);
}

const findBestPipeline = (
	candidates: readonly StageCandidate[],
	layers: number,
) =>
	choosePipeline(candidates, layers, layerCosts).map((pipeline) =>
		formatPipeline(pipeline),
	);

describe('choosePipeline', () => {
	it('splits overlapping ranges so that the faster engine runs more layers', () => {
		const candidates = createCandidates([
			{fromLayer: 0, toLayer: 10, rate: 400_000},
			{fromLayer: 6, toLayer: 16},
		]);
		expect(findBestPipeline(candidates, 16)._unsafeUnwrap()).toBe(
			'host-0[0-10)>host-1[10-16)',
		);
	});

	it('avoids a slow link even if the first stage then costs more', () => {
		const candidates = createCandidates([
			{fromLayer: 0, toLayer: 8, dataCentre: 'a', rate: 200_000},
			{fromLayer: 0, toLayer: 8, dataCentre: 'b'},
			{fromLayer: 8, toLayer: 16, dataCentre: 'b'},
		]);
		expect(findBestPipeline(candidates, 16)._unsafeUnwrap()).toBe(
			'host-1[0-8)>host-2[8-16)',
		);
	});

	it('reports the layers that no candidate holds', () => {
		const candidates = createCandidates([
			{fromLayer: 2, toLayer: 8},
			{fromLayer: 12, toLayer: 20},
		]);
		const missing = findBestPipeline(candidates, 24)._unsafeUnwrapErr();
		expect(formatLayers(missing)).toBe('0-1, 8-11, 20-23');
		expect(formatLayers(findBestPipeline([], 4)._unsafeUnwrapErr())).toBe(
			'0-3',
		);
	});

	it('covers each layer once, on distinct hosts, if candidates hold all layers', () => {
		const layers = 12;
		const range = fc
			.tuple(
				fc.integer({min: 0, max: layers - 1}),
				fc.integer({min: 1, max: layers}),
				fc.constantFrom('a', 'b', 'c'),
				fc.integer({min: 1, max: 40}),
			)
			.map(([fromLayer, length, dataCentre, rate]) => ({
				fromLayer,
				toLayer: Math.min(layers, fromLayer + length),
				dataCentre,
				rate: rate * 10_000,
			}));
		fc.assert(
			fc.property(fc.array(range, {maxLength: 12}), (facts) => {
				const candidates = createCandidates(facts);
				const held = new Set(listLayers(facts));
				const covered = Array.from({length: layers}, (_, layer) =>
					held.has(layer),
				);
				const chosen = choosePipeline(candidates, layers, layerCosts);
				expect(chosen.isOk()).toBe(covered.every(Boolean));
				if (chosen.isErr()) {
					expect(listLayers(chosen.error)).toEqual(
						[...covered.keys()].filter((layer) => !covered[layer]),
					);
					return;
				}

				const {stages} = chosen.value;
				let next = 0;
				for (const {candidate, fromLayer, toLayer} of stages) {
					expect(fromLayer).toBe(next);
					expect(fromLayer).toBeGreaterThanOrEqual(candidate.offer.fromLayer);
					expect(toLayer).toBeLessThanOrEqual(candidate.offer.toLayer);
					next = toLayer;
				}

				expect(next).toBe(layers);
				const hosts = new Set(stages.map(({candidate}) => candidate.host.host));
				expect(hosts.size).toBe(stages.length);
			}),
			{numRuns: 400, seed: 5},
		);
	});
});

describe('selectCandidates', () => {
	it('keeps a candidate of every range and excludes unusable hosts', () => {
		const candidates = createCandidates(
			Array.from({length: 60}, (_, index) => ({
				fromLayer: index % 2 ? 8 : 0,
				toLayer: index % 2 ? 16 : 8,
			})),
		);
		const groups = buildCandidateGroups(candidates);
		const only = candidates[59]?.host;
		let drawn = 7;
		const selected = selectCandidates(
			groups,
			2,
			(id) => {
				const isEven = Number(id.slice('host-'.length)) % 2 === 0;
				return isEven
					? candidates.find(({host}) => host.host === id)?.host
					: id === only?.host
						? only
						: undefined;
			},
			(bound) => {
				drawn = (drawn * 31 + 11) % 1009;
				return drawn % bound;
			},
		);
		expect(selected.length).toBeLessThanOrEqual(4);
		expect(selected.some(({host}) => host === only)).toBe(true);
		expect(selected.some(({offer}) => offer.fromLayer === 0)).toBe(true);
	});
});

describe('createRouteCosts', () => {
	const shape = {promptTokens: 100, answerTokens: 20};
	const pair = createCandidates([
		{fromLayer: 0, toLayer: 8},
		{fromLayer: 0, toLayer: 8},
	]);
	const choose = (loads: LoadTracker, now: number) =>
		choosePipeline(
			pair,
			8,
			createRouteCosts(
				shape,
				{
					estimateLoad: (...load) => loads.estimate(...load),
					linkMs: () => 0,
				},
				now,
			),
		)
			.map(({stages}) => stages[0]?.candidate.host.host)
			._unsafeUnwrap();

	it('counts work sent since the last load report when spreading work', () => {
		const loads = new LoadTracker();
		const counts = new Map<string, number>();
		for (let index = 0; index < 10; index++) {
			const host = choose(loads, 0);
			counts.set(host ?? '', (counts.get(host ?? '') ?? 0) + 1);
			if (host) {
				loads.recordSent(host, computeStageWork(shape, 8), 0);
			}
		}

		expect([...counts.values()]).toEqual([5, 5]);
	});

	it('avoids a host that is slow but alive, and retries it later', () => {
		const loads = new LoadTracker();
		const [slow, other] = pair.map(({host}) => host.host);
		if (!slow || !other) {
			throw new Error('No hosts.');
		}

		const report = {queued: 100, running: 100, rate: 4000, stepMs: 300};
		loads.recordReport(slow, report, 100_000, 0);
		loads.recordReport(other, {...report, rate: 90_000, stepMs: 5}, 100_000, 0);
		expect(choose(loads, 1)).toBe(other);
		loads.recordReport(slow, {queued: 0, running: 0, rate: 0}, 100_000, 1000);
		loads.recordReport(
			other,
			{...report, rate: 90_000, stepMs: 5},
			100_000,
			1000,
		);
		expect(choose(loads, 1001)).toBe(other);
		expect(choose(loads, 60_000)).toBe(slow);
	});
});
