/**
 * Sample engine fleet of the benches: 4 accelerator kinds in 3 data centres,
 * with layer ranges of different sizes.
 */
import type {AcceleratorKind} from 'bramleystage-stand-ins';
import type {EngineSpec, LinkLatency} from './simulated-site.js';

export const benchLayers = 32;

const dataCentres = ['a', 'b', 'c'];
const rangesByKind: ReadonlyArray<
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

/**
 * Creates a fleet of a number of engines. All kinds have equally many engines,
 * spread over the layer ranges of the kind and over the data centres.
 */
export function createFleet(size: number): EngineSpec[] {
	return Array.from({length: size}, (_, index) => {
		const [kind, layerRanges] = rangesByKind[index % rangesByKind.length]!;
		const round = Math.floor(index / rangesByKind.length);
		const [fromLayer, toLayer] = layerRanges[round % layerRanges.length]!;
		const dataCentre = dataCentres[(round + index) % dataCentres.length]!;
		return {kind, fromLayer, toLayer, dataCentre};
	});
}

const sameDataCentreMs = 0.1;
const nearbyDataCentreMs = 0.5;
const remoteDataCentreMs = 10;

/**
 * Link time of a fleet in which data centres a and b are close to each other
 * and data centre c is remote.
 */
export const fleetLinkLatency: LinkLatency = (from, to) => {
	if (from === to) {
		return sameDataCentreMs;
	}

	return from === 'c' || to === 'c' ? remoteDataCentreMs : nearbyDataCentreMs;
};

/** Link time of a fleet whose data centres are all in one region. */
export const nearLinkLatency: LinkLatency = (from, to) =>
	from === to ? sameDataCentreMs : nearbyDataCentreMs;
