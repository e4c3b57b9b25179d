import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toBackendId, toDataCentreId} from '../../protocol/ids.js';
import {choosePath, type PathEngine, type PathStage} from '../layer-path.js';

const layers = 12;
const computeHopCost = (from: string, to: string) => (from === to ? 0.2 : 12);

const createEngine = (
	name: string,
	from: number,
	to: number,
	layerCost = 1,
): PathEngine => ({
	id: toBackendId(name),
	address: `${name}:1`,
	dataCentre: toDataCentreId(name[0] ?? ''),
	layers: {from, to},
	layerCost,
	firstStageCost: 0,
});

function checkPath(path: readonly PathStage[]) {
	let next = 0;
	for (const stage of path) {
		expect(stage.layers.from).toBe(next);
		expect(stage.layers.to).toBeGreaterThan(next);
		next = stage.layers.to;
	}

	expect(next).toBe(layers);
	const ids = path.map(({id}) => id);
	expect(new Set(ids).size).toBe(ids.length);
}

test('a path stays within its data centre', () => {
	const path = choosePath(
		[
			createEngine('a1', 0, 6),
			createEngine('a2', 6, 12),
			createEngine('b1', 0, 6, 0.9),
			createEngine('b2', 6, 12, 2),
		],
		layers,
		computeHopCost,
	);
	expect(path?.map(({id}) => id)).toEqual(['a1', 'a2']);
});

test('layers that a data centre lacks are run in another one', () => {
	const path = choosePath(
		[
			createEngine('a1', 0, 4),
			createEngine('a3', 8, 12),
			createEngine('b1', 2, 9),
		],
		layers,
		computeHopCost,
	);
	expect(path?.map(({id}) => id)).toEqual(['a1', 'b1', 'a3']);
	checkPath(path ?? []);
});

test('there is no path when no engine holds a layer', () => {
	expect(
		choosePath(
			[createEngine('a1', 0, 4), createEngine('a2', 5, 12)],
			layers,
			computeHopCost,
		),
	).toBeUndefined();
});

test('every path runs each layer once, in order, and names each engine once', () => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					place: fc.constantFrom('a', 'b', 'c'),
					from: fc.nat({max: layers - 1}),
					size: fc.integer({min: 1, max: layers}),
					cost: fc.double({min: 0.1, max: 20, noNaN: true}),
				}),
				{minLength: 1, maxLength: 14},
			),
			(engines) => {
				const path = choosePath(
					engines.map(({place, from, size, cost}, index) =>
						createEngine(
							`${place}${index}`,
							from,
							Math.min(layers, from + size),
							cost,
						),
					),
					layers,
					computeHopCost,
				);
				if (path) {
					checkPath(path);
					for (const stage of path) {
						const held = engines[Number(stage.id.slice(1))];
						const to = Math.min(layers, (held?.from ?? 0) + (held?.size ?? 0));
						expect(stage.layers.from).toBeGreaterThanOrEqual(held?.from ?? 99);
						expect(stage.layers.to).toBeLessThanOrEqual(to);
					}
				}
			},
		),
		{seed: 5},
	);
});
