/** The two sample deployments: what stands where, and the rows of their tables. */
import {
	type RowChange,
	rowKeySchema,
	toDataCentreId,
	toHostId,
	type DataCentreId,
	type HostId,
} from 'bramleystage';
import {computeKeyDigest} from 'bramleystage-entry';
import type {AcceleratorKind} from 'bramleystage-stand-ins';

export type EnginePlace = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly acceleratorKind: AcceleratorKind;
};

export type Deployment = {
	readonly name: string;
	readonly model: string;
	readonly version: string;
	readonly layers: number;
	readonly service: string;
	readonly dataCentres: readonly DataCentreId[];
	readonly engines: readonly EnginePlace[];
	/** Customers by name; the key of a sample customer is `key-<name>`. */
	readonly customers: readonly string[];
	readonly samplePrompt: string;
};

export const deploymentNames = ['kaleli', 'cooperative'] as const;
export type DeploymentName = (typeof deploymentNames)[number];

const layers = 24;

/** Ranges that do not line up, on three data centres, twice over. */
const ranges: ReadonlyArray<[number, number, number, AcceleratorKind]> = [
	[0, 0, 10, 'large'],
	[0, 0, 8, 'medium'],
	[1, 8, 16, 'medium'],
	[1, 10, 18, 'large'],
	[2, 16, 24, 'medium'],
	[2, 18, 24, 'small'],
];

function placeEngines(dataCentres: readonly DataCentreId[]): EnginePlace[] {
	return ranges.map(([centre, fromLayer, toLayer, acceleratorKind], index) => ({
		host: toHostId(`engine-${index + 1}`),
		dataCentre: dataCentres[centre] ?? toDataCentreId('unknown'),
		fromLayer,
		toLayer,
		acceleratorKind,
	}));
}

function createDeployment(
	facts: Omit<Deployment, 'engines' | 'layers' | 'version'>,
): Deployment {
	return {
		...facts,
		layers,
		version: '1',
		engines: placeEngines(facts.dataCentres),
	};
}

export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
	kaleli: createDeployment({
		name: 'kaleli',
		model: 'castle-guide',
		service: 'ticket-office',
		dataCentres: ['izmir-a', 'izmir-b', 'manisa-c'].map((id) =>
			toDataCentreId(id),
		),
		customers: [
			'castle-gates',
			'hotel-concierges',
			'call-centre',
			'school-trips',
			'tour-operators',
			'island-ferries',
			'museum-shops',
			'audio-guides',
			'city-cards',
			'press-office',
		],
		samplePrompt: 'Which gate of the castle opens first in the morning?',
	}),
	cooperative: createDeployment({
		name: 'cooperative',
		model: 'reading-lists',
		service: 'reserves',
		dataCentres: ['boston', 'providence', 'burlington'].map((id) =>
			toDataCentreId(id),
		),
		customers: [
			'harbor-college',
			'hill-university',
			'valley-library',
			'state-library',
			'mill-river-college',
			'lakeside-seminary',
			'north-shore-schools',
			'coast-academy',
			'music-conservatory',
			'evening-courses',
		],
		samplePrompt: 'Draft a reading list for a module on coastal ecology.',
	}),
};

/** Bearer key of a sample customer. */
export const formatSampleKey = (customer: string) => `key-${customer}`;

/** Rows of a deployment's first table. */
export function listTableRows(deployment: Deployment): RowChange[] {
	const customers = deployment.customers.map((name) =>
		createRow(`customer/${name}`, {
			key_sha256: computeKeyDigest(formatSampleKey(name)),
			weight: '1',
		}),
	);
	return [
		...customers,
		createRow(`service/${deployment.service}`, {
			weight: '1',
			timeout_ms: '30000',
		}),
		createRow(`model/${deployment.model}`, {
			weight: '1',
			layers: String(deployment.layers),
			version: deployment.version,
			max_tokens: '4096',
		}),
	];
}

const createRow = (
	key: string,
	cells: Readonly<Record<string, string>>,
): RowChange => ({row: rowKeySchema.parse(key), against: null, cells});
