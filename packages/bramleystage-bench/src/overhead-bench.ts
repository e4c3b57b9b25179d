/**
 * Overhead bench: latency and requests per second of requests routed through an
 * entry and agents, compared with direct calls to the same stand-in engines and
 * services in the same run. Everything shares one process, so the routed
 * figures include the CPU time of the stand-ins and of the callers.
 */
import http from 'node:http';
import {createLogger, sendHttpRequest} from 'bramleystage';
import {
	deployments,
	formatSampleApiKey,
	type Site,
	startSite,
} from 'bramleystage-site';
import {computeReferenceCompletion} from 'bramleystage-stand-ins';
import {build as buildHistogram} from 'hdr-histogram-js';
import type {Bench, BenchFlags} from './benches.js';
import {buildDirectStages, runDirect} from './direct-pipeline.js';

const usPerMs = 1000;
const msPerSecond = 1000;
const callTimeoutMs = 30_000;
const rounds = 2;

/** Pipelines of the direct path, used in turn so that every engine is used. */
const directPipelineHosts = [
	['engine-1', 'engine-4', 'engine-6'],
	['engine-2', 'engine-3', 'engine-5'],
];

type Plan = {
	readonly requests: number;
	readonly concurrency: number;
	readonly tokens: number;
};

/** Sends the request with this index; true if the response is correct. */
type SendRequest = (index: number) => Promise<boolean>;

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
	const expectedText = (index: number) =>
		computeReferenceCompletion(
			formatPrompt(index),
			deployment.layers,
			plan.tokens,
		).text;
	const pipelines = directPipelineHosts.map((hosts) =>
		buildDirectStages(
			deployment.engines,
			hosts,
			(host) => engines.get(host)?.address ?? '',
		),
	);
	const direct: SendRequest = async (index) => {
		const stages = pipelines[index % pipelines.length] ?? [];
		const sequence = `direct-${index}`;
		const prompt = formatPrompt(index);
		const request = {sequence, prompt, maxTokens: plan.tokens};
		return (await runDirect(stages, request, agent)) === expectedText(index);
	};

	const routed: SendRequest = async (index) => {
		const response = await sendHttpRequest({
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
		const body = JSON.parse(response._unsafeUnwrap().body.toString()) as {
			choices?: ReadonlyArray<{text: string}>;
		};
		return body.choices?.[0]?.text === expectedText(index);
	};

	return {direct, routed};
}

function createServiceRuns(site: Site, agent: http.Agent) {
	const services = [...site.services.values()];
	const sendGet = async (url: string, headers = {}) => {
		const response = await sendHttpRequest({
			method: 'GET',
			url,
			headers,
			agent,
			timeoutMs: callTimeoutMs,
		});
		return response._unsafeUnwrap().status === 200;
	};

	const direct: SendRequest = async (index) => {
		const service = services[index % services.length];
		return sendGet(`http://${service?.address}/bookings/bench`);
	};

	const routed: SendRequest = async (index) => {
		const entry = site.entries[index % site.entries.length];
		const path = `/v1/services/${site.deployment.service}/bookings/bench`;
		return sendGet(`http://${entry?.address}${path}`, createHeaders(site));
	};

	return {direct, routed};
}

const createHeaders = ({deployment}: Site) => ({
	authorization: `Bearer ${formatSampleApiKey(deployment.customers[0] ?? '')}`,
});

/** Collects the latency percentiles, throughput and wrong answers of one path. */
class Measurement {
	readonly #histogram = buildHistogram();
	#elapsedMs = 0;
	#requests = 0;
	#wrong = 0;

	async run(
		plan: Plan,
		sendRequest: SendRequest,
		firstIndex: number,
	): Promise<void> {
		let next = firstIndex;
		const startedAt = performance.now();
		const runCaller = async () => {
			while (next < firstIndex + plan.requests) {
				const index = next;
				next++;
				const sentAt = performance.now();
				// eslint-disable-next-line no-await-in-loop -- one request at a time per caller
				const isRight = await sendRequest(index);
				const tookUs = (performance.now() - sentAt) * usPerMs;
				this.#histogram.recordValue(Math.round(tookUs));
				this.#wrong += isRight ? 0 : 1;
			}
		};

		await Promise.all(Array.from({length: plan.concurrency}, runCaller));
		this.#elapsedMs += performance.now() - startedAt;
		this.#requests += plan.requests;
	}

	describe() {
		const computePercentileMs = (percentile: number) =>
			this.#histogram.getValueAtPercentile(percentile) / usPerMs;
		return {
			p50Ms: computePercentileMs(50),
			p95Ms: computePercentileMs(95),
			requestsPerSecond: Number(
				((this.#requests * msPerSecond) / this.#elapsedMs).toFixed(1),
			),
			wrongAnswers: this.#wrong,
		};
	}
}

/** Measures both paths in alternating rounds, so that changes in machine load affect both. */
async function comparePaths(
	plan: Plan,
	paths: {direct: SendRequest; routed: SendRequest},
) {
	const warmUp = {...plan, requests: plan.concurrency * 2};
	const direct = new Measurement();
	const routed = new Measurement();
	let firstIndex = 0;
	for (let round = 0; round < rounds; round++) {
		for (const [sendRequest, measurement] of [
			[paths.direct, direct],
			[paths.routed, routed],
		] as const) {
			/* eslint-disable no-await-in-loop -- the paths must not overlap */
			await new Measurement().run(warmUp, sendRequest, firstIndex);
			await measurement.run(plan, sendRequest, firstIndex + warmUp.requests);
			/* eslint-enable no-await-in-loop */
			firstIndex += warmUp.requests + plan.requests;
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
		const model = await comparePaths(plan, createModelRuns(site, plan, agent));
		const service = await comparePaths(plan, createServiceRuns(site, agent));
		agent.destroy();
		await site.stop();
		return {...plan, rounds, model, service};
	},
};
