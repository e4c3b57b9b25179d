import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toBackendId, toDataCentreId} from '../../protocol/ids.js';
import {choosePath, listPathOptions} from '../layer-path.js';
import {
	chooseFirstStage,
	computeBlendedRequests,
	computeFleetWork,
	computeReportedOthers,
	type FirstStageOption,
	isCrowded,
} from '../path-load.js';

const report = {
	running: 100,
	waiting: 10,
	slots: 134,
	receivedAt: 1000,
	ownRequests: 4,
};

// Guards against gateways that multiply a single request of their own by the number of gateways.
test('the work of the others is spread evenly unless this gateway has much of its own', () => {
	const even = {ownTotal: 0, othersTotal: 500, share: 0.2, evenWork: 20};
	expect(computeFleetWork({...even, own: 0})).toBe(100);
	const single = computeFleetWork({...even, own: 1, ownTotal: 1});
	expect(single).toBeGreaterThan(100);
	expect(single).toBeLessThan(130);
	const much = computeFleetWork({...even, own: 1000, ownTotal: 2000});
	expect(much).toBeCloseTo(1000 + 250, -1);
});

// Guards against an estimate that holds on to a report after the queue has drained, and
// against one that misses the requests that this gateway has sent since.
test('a report loses its weight within two seconds', () => {
	expect(computeBlendedRequests(20, 4, report, 1000)).toBe(110);
	expect(computeBlendedRequests(20, 7, report, 1000)).toBe(113);
	expect(computeBlendedRequests(20, 4, report, 2000)).toBe(65);
	expect(computeBlendedRequests(20, 4, report, 3000)).toBe(20);
	expect(computeBlendedRequests(20, 4, undefined, 1000)).toBe(20);
});

// Guards against engines without a report that look fuller than the others, and are avoided then.
test('reports of some engines tell the work of the others at all of them', () => {
	expect(computeReportedOthers([report, undefined], 1000)).toBe(212);
	expect(computeReportedOthers([report, undefined], 3000)).toBeUndefined();
	expect(computeReportedOthers([], 1000)).toBeUndefined();
});

test('an engine is crowded if requests wait there or no slot is free', () => {
	expect(isCrowded(report)).toBe(true);
	expect(isCrowded({running: 134, waiting: 0, slots: 134})).toBe(true);
	expect(isCrowded({running: 133, waiting: 0, slots: 134})).toBe(false);
});

test('a first stage is chosen if there is one, and one without a free slot only if no other has any', () => {
	const none = chooseFirstStage<FirstStageOption>([], {
		ownShare: 1,
		drawRandom: () => 0,
	});
	expect(none).toBeUndefined();
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					cost: fc.double({min: 0, max: 500, noNaN: true}),
					slotLoad: fc.double({min: 0, max: 2, noNaN: true}),
					slots: fc.integer({min: 1, max: 200}),
				}),
				{minLength: 1, maxLength: 12},
			),
			fc.double({min: 0, max: 0.999_999, noNaN: true}),
			fc.double({min: 0, max: 1, noNaN: true}),
			(options, drawn, ownShare) => {
				const isFree = ({slots, slotLoad}: (typeof options)[number]) =>
					slots * (1 - slotLoad) >= 1;
				const chosen = chooseFirstStage(options, {
					ownShare,
					drawRandom: () => drawn,
				});
				expect(options).toContain(chosen);
				if (options.some((option) => isFree(option))) {
					expect(isFree(chosen!)).toBe(true);
				}
			},
		),
		{seed: 5},
	);
});

// Guards against paths that other first stages make worse than the cheapest one.
test('the cheapest of the paths from each first stage costs as much as the cheapest path', () => {
	const layers = 8;
	const computeHopCost = (from: string, to: string) => (from === to ? 0.2 : 12);
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					place: fc.constantFrom('a', 'b', 'c'),
					from: fc.nat({max: layers - 1}),
					size: fc.integer({min: 1, max: layers}),
					layerCost: fc.double({min: 0.1, max: 20, noNaN: true}),
				}),
				{minLength: 1, maxLength: 14},
			),
			(held) => {
				const engines = held.map(({place, from, size, layerCost}, index) => ({
					id: toBackendId(`${place}${index}`),
					address: `${place}${index}:1`,
					dataCentre: toDataCentreId(place),
					layers: {from, to: Math.min(layers, from + size)},
					layerCost,
					firstStageCost: index,
				}));
				const options = listPathOptions(engines, layers, computeHopCost);
				const cheapest = choosePath(engines, layers, computeHopCost);
				expect(options.length > 0).toBe(cheapest !== undefined);
				const [best] = options.toSorted((a, b) => a.cost - b.cost);
				expect(best?.listStages()).toEqual(cheapest);
				for (const {first, listStages} of options) {
					const stages = listStages();
					expect(stages[0]?.id).toBe(first.id);
					expect(stages.at(-1)?.layers.to).toBe(layers);
					expect(new Set(stages.map(({id}) => id)).size).toBe(stages.length);
				}
			},
		),
		{seed: 5},
	);
});
