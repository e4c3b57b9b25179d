/**
 * A site for the recovery bench. The platform and the entries run in this
 * process, each agent and each engine in a process of its own. A relay in front
 * of each agent and engine can silence its connections.
 */
import {
	createLogger,
	entrySettings,
	LifeCycle,
	parseSettings,
	PlatformClient,
	sendHttpRequest,
	toHostId,
	type HostId,
	waitFor,
} from 'bramleystage';
import {type RunningEntry, type startEntry} from 'bramleystage-entry';
import {
	type Deployment,
	deployments,
	listInitialRowChanges,
	registerHost,
} from 'bramleystage-site';
import {
	defaultPlatformOptions,
	startPlatformStandIn,
} from 'bramleystage-stand-ins';
import {type RunningChild, startChild} from './child-process.js';
import {Relay} from './relay.js';

/** One backend server host: engine, agent, and the relays in front of them. */
export type RecoveryHost = {
	readonly host: HostId;
	readonly fromLayer: number;
	readonly toLayer: number;
	readonly engineRelay: Relay;
	readonly agentRelay: Relay;
	engine: RunningChild | undefined;
	agent: RunningChild | undefined;
};

export type StartEntry = typeof startEntry;

const layersPerEngine = 8;
const replicas = 2;
/** Longest wait for the peers to close silenced connections before the next fault. */
const maxSilenceWaitMs = 3000;
const pollIntervalMs = 20;
const readyTimeoutMs = 20_000;
const logger = createLogger('error', {role: 'bench'});

export class RecoverySite {
	readonly deployment: Deployment = {...deployments.kaleli, engines: []};
	readonly hosts: RecoveryHost[] = [];
	readonly #lifeCycle = new LifeCycle();
	#platform = '';

	/** Starts the platform, the engines and their agents. */
	async start(): Promise<void> {
		const platform = await startPlatformStandIn(defaultPlatformOptions);
		this.#lifeCycle.register(async () => platform.close());
		this.#platform = platform.address;
		await new PlatformClient(platform.address).append('table', {
			kind: 'edit',
			format: 1,
			edit: 'first',
			author: 'bench',
			at: new Date(0).toISOString(),
			changes: listInitialRowChanges(this.deployment),
		});
		const ranges = this.deployment.layers / layersPerEngine;
		for (let index = 0; index < ranges * replicas; index++) {
			const fromLayer = (index % ranges) * layersPerEngine;
			this.hosts.push({
				host: toHostId(`engine-${index + 1}`),
				fromLayer,
				toLayer: fromLayer + layersPerEngine,
				engineRelay: new Relay(),
				agentRelay: new Relay(),
				engine: undefined,
				agent: undefined,
			});
		}

		await Promise.all(this.hosts.map(async (host) => this.#startHost(host)));
	}

	/** Starts another entry in this process and waits until it is ready. */
	async startEntry(name: string, start: StartEntry): Promise<RunningEntry> {
		const settings = parseSettings(entrySettings, {
			deployment: this.deployment.name,
			host: name,
			dataCentre: this.deployment.dataCentres[0],
			platform: this.#platform,
		});
		const entry = await start(settings._unsafeUnwrap(), logger);
		this.#lifeCycle.register(async () => entry.stop());
		await this.waitForReady(entry);
		return entry;
	}

	/** Starts the host's processes that aren't running, then waits for its silenced connections to close. */
	async restore(host: RecoveryHost): Promise<void> {
		host.engine ??= await this.#startEngine(host);
		host.engineRelay.setTarget(host.engine.address);
		host.agent ??= await this.#startAgent(host);
		host.agentRelay.setTarget(host.agent.address);
		const until = performance.now() + maxSilenceWaitMs;
		while (host.agentRelay.hasSilentConnection && performance.now() < until) {
			// eslint-disable-next-line no-await-in-loop -- polls until closed
			await waitFor(pollIntervalMs);
		}
	}

	/** Resolves once the entry is connected to every host and each offers layers. */
	async waitForReady(entry: RunningEntry): Promise<void> {
		const until = performance.now() + readyTimeoutMs;
		while (performance.now() < until) {
			// eslint-disable-next-line no-await-in-loop -- polls until ready
			const dump = await readDump(entry.operatorAddress);
			const hosts = (dump.hosts ?? []) as Array<{offers: unknown[]}>;
			const ready = hosts.filter(({offers}) => offers.length > 0);
			if (ready.length === this.hosts.length && dump.tableOffset !== 0) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop -- polls until ready
			await waitFor(pollIntervalMs);
		}

		const dump = await readDump(entry.operatorAddress);
		throw new Error(
			`The site did not become ready: ${JSON.stringify(dump.hosts)}`,
		);
	}

	/** Lists the hosts that have open stages. */
	async listBusyHosts(): Promise<RecoveryHost[]> {
		const busy = await Promise.all(
			this.hosts.map(async ({agent}) => {
				const dump = agent ? await readDump(agent.operatorAddress) : {};
				return Number(dump.openStages ?? 0) > 0;
			}),
		);
		return this.hosts.filter((_, index) => busy[index]);
	}

	/** Describes the entry's model runs and each agent's stages, to diagnose a stall. */
	async describe(entry: RunningEntry): Promise<string> {
		const {modelRuns} = await readDump(entry.operatorAddress);
		const lines = [JSON.stringify(modelRuns)];
		for (const {host, agent} of this.hosts) {
			// eslint-disable-next-line no-await-in-loop -- one after another
			const dump = agent ? await readDump(agent.operatorAddress) : {};
			lines.push(`${host} ${JSON.stringify(dump.stages)}`);
		}

		return `${lines.join('\n')}\n`;
	}

	async stop(): Promise<void> {
		await this.#lifeCycle.stop();
		for (const {agent, engine, agentRelay, engineRelay} of this.hosts) {
			agent?.kill();
			engine?.kill();
			agentRelay.close();
			engineRelay.close();
		}
	}

	async #startHost(host: RecoveryHost): Promise<void> {
		await host.engineRelay.listen();
		await host.agentRelay.listen();
		await this.restore(host);
		await registerHost(this.#platform, {
			host: host.host,
			role: 'agent',
			dataCentre: this.#selectDataCentre(),
			address: host.agentRelay.address,
		});
	}

	async #startEngine({
		fromLayer,
		toLayer,
	}: RecoveryHost): Promise<RunningChild> {
		const {model, version, layers} = this.deployment;
		return startChild([
			'stand-in',
			'engine',
			'--model',
			model,
			'--model-version',
			version,
			'--layers',
			String(layers),
			'--from-layer',
			String(fromLayer),
			'--to-layer',
			String(toLayer),
			'--kind',
			'large',
		]);
	}

	async #startAgent(host: RecoveryHost): Promise<RunningChild> {
		return startChild([
			'agent',
			'--host',
			host.host,
			'--platform',
			this.#platform,
			'--deployment',
			this.deployment.name,
			'--data-centre',
			this.#selectDataCentre(),
			'--engine',
			`http://${host.engineRelay.address}`,
			'--log-level',
			'error',
		]);
	}

	#selectDataCentre() {
		const [first] = this.deployment.dataCentres;
		if (first === undefined) {
			throw new Error('A deployment needs a data centre.');
		}

		return first;
	}
}

async function readDump(address: string): Promise<Record<string, unknown>> {
	const response = await sendHttpRequest({
		method: 'GET',
		url: `http://${address}/dump`,
		timeoutMs: 1000,
	});
	return response.isOk()
		? (JSON.parse(response.value.body.toString()) as Record<string, unknown>)
		: {};
}
