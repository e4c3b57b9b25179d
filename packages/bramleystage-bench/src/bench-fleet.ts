/** The engines of the benches: 4 kinds in 3 data centres, uneven ranges. */
import type {AcceleratorKind} from 'bramleystage-stand-ins';
import type {EngineFacts, LinkTime} from './timed-site.js';

export const benchLayers = 32;

const dataCentres = ['a', 'b', 'c'];
const ranges: ReadonlyArray<
	readonly [AcceleratorKind, ReadonlyArray<readonly [number, number]>]
> = [
	[
		'large',
		[
			[0, 12],
			[10, 22],
			[20, 32],
		],
	],
	[
		'medium',
		[
			[0, 8],
			[8, 16],
			[14, 24],
			[24, 32],
		],
	],
	[
		'small',
		[
			[0, 6],
			[5, 11],
			[11, 17],
			[16, 23],
			[22, 28],
			[26, 32],
		],
	],
	[
		'edge',
		[
			[0, 3],
			[12, 15],
			[29, 32],
		],
	],
];

/** Creates a fleet; each kind has its share, spread over ranges and data centres. */
export function createFleet(size: number): EngineFacts[] {
	return Array.from({length: size}, (_, index) => {
		const [kind, held] = ranges[index % ranges.length]!;
		const turn = Math.floor(index / ranges.length);
		const [fromLayer, toLayer] = held[turn % held.length]!;
		const dataCentre = dataCentres[(turn + index) % dataCentres.length]!;
		return {kind, fromLayer, toLayer, dataCentre};
	});
}

const ownMs = 0.1;
const nearMs = 0.5;
const farMs = 10;

/** Links: within a data centre, between the first two, and to the third. */
export const fleetLinkTime: LinkTime = (from, to) => {
	if (from === to) {
		return ownMs;
	}

	return from === 'c' || to === 'c' ? farMs : nearMs;
};

/** Links as within one region: all data centres are near. */
export const nearLinkTime: LinkTime = (from, to) =>
	from === to ? ownMs : nearMs;
