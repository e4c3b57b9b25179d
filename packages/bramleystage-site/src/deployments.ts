/** The two sample deployments: their model, service, customers, data centres and engines, and their initial tables. */
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

/** Location, layer range `[fromLayer, toLayer)` and accelerator of one engine. */
export type DeploymentEngine = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly acceleratorKind: AcceleratorKind;
};

export type Deployment = {
	readonly name: string;
	readonly model: string;
	/** Version of the model. */
	readonly version: string;
	/** Number of layers of the model. */
	readonly layers: number;
	/** Name of the plain service. */
	readonly service: string;
	readonly dataCentres: readonly DataCentreId[];
	readonly engines: readonly DeploymentEngine[];
	/** Names of the customers; the API key of a customer is `key-<name>`. */
	readonly customers: readonly string[];
	readonly samplePrompt: string;
};

export const deploymentNames = ['kaleli', 'cooperative'] as const;
export type DeploymentName = (typeof deploymentNames)[number];

const layerCount = 24;

/**
 * Index of the data centre, first layer, end layer (exclusive) and accelerator
 * of each engine. Every layer has two replicas, and apart from the ends of the
 * model the two sets of ranges share no boundary.
 */
const layerRanges: ReadonlyArray<[number, number, number, AcceleratorKind]> = [
	[0, 0, 10, 'large'],
	[0, 0, 8, 'medium'],
	[1, 8, 16, 'medium'],
	[1, 10, 18, 'large'],
	[2, 16, 24, 'medium'],
	[2, 18, 24, 'small'],
];

function createEngines(
	dataCentres: readonly DataCentreId[],
): DeploymentEngine[] {
	return layerRanges.map(
		([dataCentreIndex, fromLayer, toLayer, acceleratorKind], index) => ({
			host: toHostId(`engine-${index + 1}`),
			dataCentre: dataCentres[dataCentreIndex] ?? toDataCentreId('unknown'),
			fromLayer,
			toLayer,
			acceleratorKind,
		}),
	);
}

function createDeployment(
	options: Omit<Deployment, 'engines' | 'layers' | 'version'>,
): Deployment {
	return {
		...options,
		layers: layerCount,
		version: '1',
		engines: createEngines(options.dataCentres),
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

/** Formats the API key of a sample customer, which is sent as a bearer token. */
export const formatSampleApiKey = (customer: string) => `key-${customer}`;

/** Lists the changes that create the rows of a deployment's initial table. */
export function listInitialRowChanges(deployment: Deployment): RowChange[] {
	const customers = deployment.customers.map((name) =>
		createRow(`customer/${name}`, {
			key_sha256: computeKeyDigest(formatSampleApiKey(name)),
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
