/**
 * What the way through entry and agents costs: latency and requests a second
 * against the stand-in engines and services called directly, with the same
 * work in the same run. All parts share one process, so the figures through
 * the system include the time of the stand-ins and of the callers.
 */
import http from 'node:http';
import {createLogger, sendHttp} from 'bramleystage';
import {
	deployments,
	formatSampleKey,
	type Site,
	startSite,
} from 'bramleystage-site';
import {computeReference} from 'bramleystage-stand-ins';
import {build as buildHistogram} from 'hdr-histogram-js';
import type {Bench, BenchFlags} from './benches.js';
import {buildDirectStages, runDirect} from './direct-pipeline.js';

const usPerMs = 1000;
const msPerSecond = 1000;
const callTimeoutMs = 30_000;
const rounds = 2;

/** Pipelines of the direct way, used in turn so that no engine is left out. */
const directHosts = [
	['engine-1', 'engine-4', 'engine-6'],
	['engine-2', 'engine-3', 'engine-5'],
];

type Plan = {
	readonly requests: number;
	readonly concurrency: number;
	readonly tokens: number;
};

/** Runs one request by its index; true if its answer was right. */
type Run = (index: number) => Promise<boolean>;

function parsePlan({
	requests = '200',
	concurrency = '8',
	tokens = '16',
}: BenchFlags): Plan {
	return {
		requests: Number(requests),
		concurrency: Number(concurrency),
		tokens: Number(tokens),
	};
}

const formatPrompt = (index: number) => `Question ${index} of a visitor`;

function createModelRuns(site: Site, plan: Plan, agent: http.Agent) {
	const {deployment, entries, engines} = site;
	const expect = (index: number) =>
		computeReference(formatPrompt(index), deployment.layers, plan.tokens).text;
	const pipelines = directHosts.map((hosts) =>
		buildDirectStages(
			deployment.engines,
			hosts,
			(host) => engines.get(host)?.address ?? '',
		),
	);
	const direct: Run = async (index) => {
		const stages = pipelines[index % pipelines.length] ?? [];
		const sequence = `direct-${index}`;
		const prompt = formatPrompt(index);
		const request = {sequence, prompt, maxTokens: plan.tokens};
		return (await runDirect(stages, request, agent)) === expect(index);
	};

	const routed: Run = async (index) => {
		const answer = await sendHttp({
			method: 'POST',
			url: `http://${entries[index % entries.length]?.address}/v1/completions`,
			headers: createHeaders(site),
			body: JSON.stringify({
				model: deployment.model,
				prompt: formatPrompt(index),
				max_tokens: plan.tokens,
			}),
			agent,
			timeoutMs: callTimeoutMs,
		});
		const body = JSON.parse(answer._unsafeUnwrap().body.toString()) as {
			choices?: ReadonlyArray<{text: string}>;
		};
		return body.choices?.[0]?.text === expect(index);
	};

	return {direct, routed};
}

function createServiceRuns(site: Site, agent: http.Agent) {
	const services = [...site.services.values()];
	const read = async (url: string, headers = {}) => {
		const answer = await sendHttp({
			method: 'GET',
			url,
			headers,
			agent,
			timeoutMs: callTimeoutMs,
		});
		return answer._unsafeUnwrap().status === 200;
	};

	const direct: Run = async (index) => {
		const service = services[index % services.length];
		return read(`http://${service?.address}/bookings/bench`);
	};

	const routed: Run = async (index) => {
		const entry = site.entries[index % site.entries.length];
		const path = `/v1/services/${site.deployment.service}/bookings/bench`;
		return read(`http://${entry?.address}${path}`, createHeaders(site));
	};

	return {direct, routed};
}

const createHeaders = ({deployment}: Site) => ({
	authorization: `Bearer ${formatSampleKey(deployment.customers[0] ?? '')}`,
});

/** Measures one way: latency quantiles, requests a second, wrong answers. */
class Measurement {
	readonly #histogram = buildHistogram();
	#elapsedMs = 0;
	#requests = 0;
	#wrong = 0;

	async run(plan: Plan, act: Run, from: number): Promise<void> {
		let next = from;
		const startedAt = performance.now();
		const work = async () => {
			while (next < from + plan.requests) {
				const index = next;
				next++;
				const sentAt = performance.now();
				// eslint-disable-next-line no-await-in-loop -- one request at a time a caller
				const isRight = await act(index);
				const tookUs = (performance.now() - sentAt) * usPerMs;
				this.#histogram.recordValue(Math.round(tookUs));
				this.#wrong += isRight ? 0 : 1;
			}
		};

		await Promise.all(Array.from({length: plan.concurrency}, work));
		this.#elapsedMs += performance.now() - startedAt;
		this.#requests += plan.requests;
	}

	describe() {
		const readMs = (percentile: number) =>
			this.#histogram.getValueAtPercentile(percentile) / usPerMs;
		return {
			p50Ms: readMs(50),
			p95Ms: readMs(95),
			requestsPerSecond: Number(
				((this.#requests * msPerSecond) / this.#elapsedMs).toFixed(1),
			),
			wrongAnswers: this.#wrong,
		};
	}
}

/** Measures both ways in turn, so that both meet the same machine. */
async function compareWays(plan: Plan, ways: {direct: Run; routed: Run}) {
	const warmUp = {...plan, requests: plan.concurrency * 2};
	const direct = new Measurement();
	const routed = new Measurement();
	let from = 0;
	for (let round = 0; round < rounds; round++) {
		for (const [act, measurement] of [
			[ways.direct, direct],
			[ways.routed, routed],
		] as const) {
			/* eslint-disable no-await-in-loop -- the ways must not overlap */
			await new Measurement().run(warmUp, act, from);
			await measurement.run(plan, act, from + warmUp.requests);
			/* eslint-enable no-await-in-loop */
			from += warmUp.requests + plan.requests;
		}
	}

	const baseline = direct.describe();
	const measured = routed.describe();
	return {
		direct: baseline,
		routed: measured,
		addedP50Ms: Number((measured.p50Ms - baseline.p50Ms).toFixed(3)),
		addedP95Ms: Number((measured.p95Ms - baseline.p95Ms).toFixed(3)),
		throughputShare: Number(
			(measured.requestsPerSecond / baseline.requestsPerSecond).toFixed(3),
		),
	};
}

export const overheadBench: Bench = {
	describe:
		'Latency and requests a second through entry and agents against direct calls; flags: requests, concurrency, tokens',
	async run(flags) {
		const plan = parsePlan(flags);
		const site = await startSite(deployments.kaleli, createLogger('error', {}));
		const agent = new http.Agent({keepAlive: true, noDelay: true});
		const model = await compareWays(plan, createModelRuns(site, plan, agent));
		const service = await compareWays(plan, createServiceRuns(site, agent));
		agent.destroy();
		await site.stop();
		return {...plan, rounds, model, service};
	},
};
