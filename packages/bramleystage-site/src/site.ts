/**
 * Runs a complete site in one process: the stand-in platform, engines and plain
 * services, an agent beside each engine and service, and two entries. They
 * communicate over TCP and HTTP on the loopback interface.
 */
import {randomUUID} from 'node:crypto';
import {
	agentSettings,
	type DataCentreId,
	entrySettings,
	type HostId,
	LifeCycle,
	type Logger,
	parseSettings,
	PlatformClient,
	sendHttpRequest,
	type SettingDefinitions,
	type SettingValues,
	toHostId,
} from 'bramleystage';
import {type RunningAgent, startAgent} from 'bramleystage-agent';
import {type RunningEntry, startEntry} from 'bramleystage-entry';
import {
	defaultPlatformOptions,
	startEngineStandIn,
	startPlatformStandIn,
	startServiceStandIn,
	type StandIn,
} from 'bramleystage-stand-ins';
import {type Deployment, listInitialRowChanges} from './deployments.js';
import {waitForReady} from './site-ready.js';

export type Site = {
	readonly deployment: Deployment;
	readonly platform: StandIn;
	readonly entries: readonly RunningEntry[];
	readonly agents: ReadonlyMap<HostId, RunningAgent>;
	readonly engines: ReadonlyMap<HostId, StandIn>;
	readonly services: ReadonlyMap<HostId, StandIn>;
	/** Lets the in-flight requests complete, then stops everything. */
	readonly drain: () => Promise<void>;
	/** Stops everything immediately. */
	readonly stop: () => Promise<void>;
};

const entryCount = 2;
const serviceCount = 3;
const bookingMs = 5;

/** Settings of the entries and agents that override the defaults. */
export type SiteOptions = {
	readonly entry?: Readonly<Record<string, unknown>>;
	readonly agent?: Readonly<Record<string, unknown>>;
};

/** Starts a site; resolves when both entries have a session to every agent. */
export async function startSite(
	deployment: Deployment,
	logger: Logger,
	options: SiteOptions = {},
): Promise<Site> {
	const lifeCycle = new LifeCycle();
	const platform = await startPlatformStandIn({
		...defaultPlatformOptions,
		hostLagMs: 50,
	});
	lifeCycle.register(async () => platform.close());
	await publishTable(deployment, platform.address);
	const engines = await startEngines(deployment);
	const services = await startServices(deployment);
	lifeCycle.register(async () => {
		await Promise.all(
			[...engines.values(), ...services.values()].map(async (each) =>
				each.close(),
			),
		);
	});
	const agents = await startAgents(
		{deployment, platform, engines, services},
		logger,
		options,
	);
	lifeCycle.register(async () => {
		await Promise.all([...agents.values()].map(async (agent) => agent.stop()));
	});
	const entries = await startEntries(
		deployment,
		platform.address,
		logger,
		options,
	);
	lifeCycle.register(async () => {
		await Promise.all(entries.map(async (entry) => entry.stop()));
	});
	await waitForReady(entries, agents.size);
	return {
		deployment,
		platform,
		entries,
		agents,
		engines,
		services,
		async drain() {
			await Promise.all(entries.map(async (entry) => entry.drain()));
			await Promise.all(
				[...agents.values()].map(async (agent) => agent.drain()),
			);
			await lifeCycle.stop();
		},
		stop: async () => lifeCycle.stop(),
	};
}

/** Appends the deployment's initial table to the log. */
async function publishTable(
	deployment: Deployment,
	platform: string,
): Promise<void> {
	const appended = await new PlatformClient(platform).append('table', {
		kind: 'edit',
		format: 1,
		edit: randomUUID(),
		author: 'site',
		at: new Date().toISOString(),
		changes: listInitialRowChanges(deployment),
	});
	if (appended.isErr()) {
		throw new Error(
			`The initial table could not be published: ${appended.error.detail}`,
		);
	}
}

async function startEngines(
	deployment: Deployment,
): Promise<Map<HostId, StandIn>> {
	const started = await Promise.all(
		deployment.engines.map(async (definition) => {
			const engine = await startEngineStandIn({
				address: '127.0.0.1:0',
				model: deployment.model,
				version: deployment.version,
				fromLayer: definition.fromLayer,
				toLayer: definition.toLayer,
				modelLayers: deployment.layers,
				acceleratorKind: definition.acceleratorKind,
				checksFencing: true,
			});
			return [definition.host, engine] as const;
		}),
	);
	return new Map(started);
}

async function startServices(
	deployment: Deployment,
): Promise<Map<HostId, StandIn>> {
	const started = await Promise.all(
		Array.from({length: serviceCount}, async (_, index) => {
			const host = toHostId(`${deployment.service}-${index + 1}`);
			const address = '127.0.0.1:0';
			const service = await startServiceStandIn({
				address,
				name: host,
				bookingMs,
			});
			return [host, service] as const;
		}),
	);
	return new Map(started);
}

async function startAgents(
	site: Pick<Site, 'deployment' | 'platform' | 'engines' | 'services'>,
	logger: Logger,
	options: SiteOptions,
): Promise<Map<HostId, RunningAgent>> {
	const {deployment, platform, engines, services} = site;
	const common = {deployment: deployment.name, platform: platform.address};
	const agentHosts = [
		...deployment.engines.map(({host, dataCentre}) => ({
			host,
			dataCentre,
			backend: {engine: `http://${engines.get(host)?.address}`},
		})),
		...[...services].map(([host, service], index) => ({
			host,
			dataCentre: selectDataCentre(deployment, index),
			backend: {
				service: `http://${service.address}`,
				serviceName: deployment.service,
			},
		})),
	];
	const started = await Promise.all(
		agentHosts.map(async ({host, dataCentre, backend}) => {
			const settings = buildSettings(agentSettings, {
				...common,
				host,
				dataCentre,
				...backend,
				...options.agent,
			});
			const agent = await startAgent(settings, logger);
			const {address} = agent;
			await registerHost(platform.address, {
				host,
				role: 'agent',
				dataCentre,
				address,
			});
			return [host, agent] as const;
		}),
	);
	return new Map(started);
}

async function startEntries(
	deployment: Deployment,
	platform: string,
	logger: Logger,
	options: SiteOptions,
): Promise<RunningEntry[]> {
	return Promise.all(
		Array.from({length: entryCount}, async (_, index) => {
			const host = toHostId(`entry-${index + 1}`);
			const dataCentre = selectDataCentre(deployment, index);
			const settings = buildSettings(entrySettings, {
				deployment: deployment.name,
				host,
				dataCentre,
				platform,
				...options.entry,
			});
			const entry = await startEntry(settings, logger);
			const address = entry.sessionAddress;
			await registerHost(platform, {host, role: 'entry', dataCentre, address});
			return entry;
		}),
	);
}

/** Adds a live host to the stand-in platform's host list; a real platform lists its hosts by itself. */
export async function registerHost(
	platform: string,
	host: {
		host: HostId;
		role: 'entry' | 'agent';
		dataCentre: DataCentreId;
		address: string;
	},
): Promise<void> {
	await sendHttpRequest({
		method: 'PUT',
		url: `http://${platform}/v1/hosts/${encodeURIComponent(host.host)}`,
		body: JSON.stringify({...host, state: 'live'}),
		timeoutMs: 2000,
	});
}

/** Validates settings and adds the defaults; throws if any is invalid. */
function buildSettings<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	values: Readonly<Record<string, unknown>>,
): SettingValues<Definitions> {
	return parseSettings(definitions, values).match(
		(settings) => settings,
		(errors) => {
			throw new Error(errors.join('; '));
		},
	);
}

/** Distributes hosts over the data centres in turn. */
function selectDataCentre(deployment: Deployment, index: number): DataCentreId {
	const {dataCentres} = deployment;
	const selected = dataCentres[index % dataCentres.length];
	if (selected === undefined) {
		throw new Error('The deployment has no data centre.');
	}

	return selected;
}
