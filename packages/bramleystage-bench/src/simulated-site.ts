/**
 * Simulated engines driven by the production decision code: each engine is behind
 * the agent's scheduler, the benches route with the entry's router, and load
 * reports arrive only at intervals. Sockets, parsing and faults are omitted.
 */
import {
	type ConnectedHost,
	createHosts,
	type HostId,
	type HostsSnapshot,
	type RequestShape,
	type Stage,
	toDataCentreId,
	toHostId,
	toIncarnation,
	toModelName,
	updateConnectedHost,
	WorkScheduler,
} from 'bramleystage';
import {type AcceleratorKind, type VirtualClock} from 'bramleystage-stand-ins';
import {SimulatedEngine} from './simulated-engine.js';

export const benchModel = toModelName('bench-model');

export type EngineSpec = {
	readonly dataCentre: string;
	readonly kind: AcceleratorKind;
	readonly fromLayer: number;
	readonly toLayer: number;
};

/** One request as a bench sends it. */
export type SimulatedRequest = RequestShape & {
	readonly customer: string;
	readonly weight: number;
	readonly priority: number;
	/** Called with each token, and whether it is the last. */
	readonly onToken: (isLast: boolean) => void;
};

/** Returns the one-way latency between two data centres, in milliseconds. */
export type LinkLatency = (from: string, to: string) => number;

type Step = {readonly layerTokens: number; readonly finish: () => void};

const priorityCost = 500;
const maxRunningSeconds = 0.01;
const slots = 64;
const maxQueued = 100_000;
const continuationPriority = 10;

/** A simulated engine and the agent's scheduler in front of it. */
export class SimulatedAgent {
	readonly engine: SimulatedEngine;
	readonly scheduler: WorkScheduler<Step>;

	constructor(
		readonly spec: EngineSpec,
		private readonly time: VirtualClock,
	) {
		this.engine = new SimulatedEngine(spec.kind, time);
		this.scheduler = new WorkScheduler({
			slots,
			maxQueued,
			findMaxRunningCost: () =>
				maxRunningSeconds * this.engine.layerTokensPerSecond,
			priorityCost,
		});
	}

	add(
		key: string,
		{customer, weight, priority}: SimulatedRequest,
		step: Step & {readonly isContinuation: boolean},
	): void {
		this.scheduler.add(
			{
				sharePath: [
					{key: customer, weight},
					{key: benchModel, weight: 1},
				],
				cost: step.layerTokens,
				priority: priority + (step.isContinuation ? continuationPriority : 0),
				value: step,
			},
			key,
		);
		this.#runWaiting();
	}

	#runWaiting(): void {
		for (;;) {
			const running = this.scheduler.startNext(this.time.now);
			if (!running) {
				return;
			}

			const {layerTokens, finish} = running.work.value;
			this.engine.run({
				layerTokens,
				finish: () => {
					this.scheduler.finish(running, this.time.now);
					this.time.schedule(0, () => {
						this.#runWaiting();
					});
					finish();
				},
			});
		}
	}
}

/** A set of simulated engines that runs requests in virtual time. */
export class SimulatedSite {
	readonly agents: ReadonlyMap<HostId, SimulatedAgent>;
	readonly hosts: HostsSnapshot;
	/** Number of prompt and answer tokens that have passed the last layer. */
	processedTokens = 0;
	#requests = 0;

	constructor(
		private readonly time: VirtualClock,
		engines: readonly EngineSpec[],
		private readonly linkLatency: LinkLatency,
	) {
		this.agents = new Map(
			engines.map((spec, index) => [
				toHostId(`engine-${index + 1}`),
				new SimulatedAgent(spec, time),
			]),
		);
		let hosts = createHosts();
		for (const [host, agent] of this.agents) {
			hosts = updateConnectedHost(hosts, describeHost(host, agent, 0));
		}

		this.hosts = hosts;
	}

	/** Calls a listener with each host's load report at an interval, first after `delayMs`. */
	startLoadReports(
		intervalMs: number,
		delayMs: number,
		onReport: (host: ConnectedHost) => void,
	): void {
		const report = () => {
			for (const [host, agent] of this.agents) {
				onReport(describeHost(host, agent, this.time.now));
			}

			this.time.schedule(intervalMs, report);
		};

		this.time.schedule(delayMs, report);
	}

	/** Runs a request on a pipeline of stages. */
	run(request: SimulatedRequest, stages: readonly Stage[]): void {
		const key = `request-${this.#requests++}`;
		const {promptTokens, answerTokens} = request;
		const assignments = stages.map((stage) => ({
			agent: this.agents.get(stage.host)!,
			layers: stage.toLayer - stage.fromLayer,
		}));
		for (const {agent, layers} of assignments) {
			const work = (promptTokens + answerTokens) * layers;
			agent.scheduler.reserve(key, work);
		}

		const runStep = (index: number, position: number): void => {
			const {agent, layers} = assignments[index]!;
			const tokens = position === 0 ? promptTokens : 1;
			agent.add(key, request, {
				layerTokens: tokens * layers,
				isContinuation: position > 0,
				finish() {
					finishStep(index, position, tokens);
				},
			});
		};

		const finishStep = (index: number, position: number, tokens: number) => {
			const isLastStage = index + 1 === assignments.length;
			const next = isLastStage ? 0 : index + 1;
			const nextPosition = isLastStage ? position + 1 : position;
			if (isLastStage) {
				this.processedTokens += tokens;
				request.onToken(nextPosition === answerTokens);
			}

			if (nextPosition === answerTokens) {
				for (const {agent} of assignments) {
					agent.scheduler.release(key);
				}

				return;
			}

			const from = assignments[index]!.agent.spec.dataCentre;
			const to = assignments[next]!.agent.spec.dataCentre;
			this.time.schedule(this.linkLatency(from, to), () => {
				runStep(next, nextPosition);
			});
		};

		runStep(0, 0);
	}
}

function describeHost(
	host: HostId,
	{spec, engine, scheduler}: SimulatedAgent,
	now: number,
): ConnectedHost {
	const {fromLayer, toLayer, kind, dataCentre} = spec;
	return {
		host,
		address: host,
		dataCentre: toDataCentreId(dataCentre),
		incarnation: toIncarnation('1'),
		leaving: false,
		offers: [
			{
				kind: 'layers',
				model: benchModel,
				version: '1',
				fromLayer,
				toLayer,
				acceleratorKind: kind,
				layerTokensPerSecond: engine.layerTokensPerSecond,
			},
		],
		load: scheduler.describeLoad(now),
		reportedAt: now,
		roundTripMs: 0,
	};
}
