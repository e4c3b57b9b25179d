/**
 * Throughput of a small but complete site over real sockets, for comparison with
 * simulated engines of the same kinds, layer ranges and concurrency. It includes
 * what the simulation omits: sockets, parsing and the engines' computation, all
 * in one process.
 */
import {createLogger, sendHttpRequest, waitFor} from 'bramleystage';
import {
	type Deployment,
	deployments,
	formatSampleApiKey,
	startSite,
} from 'bramleystage-site';
import {findPercentile} from './demand.js';
import type {EngineSpec} from './simulated-site.js';

export type SiteLoad = {
	readonly concurrent: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
};

export type SiteFigures = {
	readonly tokens_per_second: number;
	readonly answers: number;
	readonly refused: number;
	readonly failed: number;
	readonly refusal_ms_p95: number;
};

const warmUpMs = 2000;
const measurementMs = 6000;
const msPerSecond = 1000;
const requestTimeoutMs = 30_000;
/** How long a refused caller waits before its next request. */
const retryDelayMs = 500;
const statusOk = 200;
const statusRefused = 503;

export const siteDeployment = deployments.kaleli;

/** Lists the engines of the sample site, to be simulated. */
export const listSiteEngines = (): EngineSpec[] =>
	siteDeployment.engines.map(
		({dataCentre, acceleratorKind, fromLayer, toLayer}) => ({
			dataCentre,
			kind: acceleratorKind,
			fromLayer,
			toLayer,
		}),
	);

/** Measures a site over real sockets with closed-loop callers. */
export async function measureSite(load: SiteLoad): Promise<SiteFigures> {
	const site = await startSite(
		siteDeployment,
		createLogger('error', {role: 'bench'}),
	);
	const callers = new Callers(
		siteDeployment,
		site.entries.map(({address}) => address),
		load,
	);
	const startedAt = performance.now();
	await callers.run(startedAt + warmUpMs, startedAt + warmUpMs + measurementMs);
	await site.stop();
	return callers.describe();
}

class Callers {
	#tokens = 0;
	#answers = 0;
	#failed = 0;
	readonly #refusalMs: number[] = [];

	constructor(
		private readonly deployment: Deployment,
		private readonly entries: readonly string[],
		private readonly load: SiteLoad,
	) {}

	async run(countFrom: number, until: number): Promise<void> {
		const {concurrent} = this.load;
		await Promise.all(
			Array.from({length: concurrent}, async (_, caller) => {
				while (performance.now() < until) {
					// eslint-disable-next-line no-await-in-loop -- one request at a time
					const isRefused = await this.#send(caller, countFrom, until);
					// eslint-disable-next-line no-await-in-loop -- a refused caller backs off
					await waitFor(isRefused ? retryDelayMs : 0);
				}
			}),
		);
	}

	describe(): SiteFigures {
		return {
			tokens_per_second: Math.round(
				(this.#tokens * msPerSecond) / measurementMs,
			),
			answers: this.#answers,
			refused: this.#refusalMs.length,
			failed: this.#failed,
			refusal_ms_p95: Math.round(findPercentile(this.#refusalMs, 0.95)),
		};
	}

	async #send(
		caller: number,
		countFrom: number,
		until: number,
	): Promise<boolean> {
		const {deployment, entries, load} = this;
		const {customers, model} = deployment;
		const startedAt = performance.now();
		const response = await sendHttpRequest({
			method: 'POST',
			url: `http://${entries[caller % entries.length]}/v1/completions`,
			headers: {
				authorization: `Bearer ${formatSampleApiKey(customers[caller % customers.length]!)}`,
				'content-type': 'application/json',
			},
			body: JSON.stringify({
				model,
				prompt: Array.from(
					{length: load.promptTokens},
					(_, word) => `w${caller}x${word}`,
				).join(' '),
				max_tokens: load.answerTokens,
			}),
			timeoutMs: requestTimeoutMs,
		});
		const now = performance.now();
		const isRefused =
			response.isOk() && response.value.status === statusRefused;
		if (now < countFrom || now > until) {
			return isRefused;
		}

		if (response.isErr()) {
			this.#failed++;
		} else if (response.value.status === statusOk) {
			this.#answers++;
			this.#tokens += countTokens(response.value.body);
		} else if (isRefused) {
			this.#refusalMs.push(now - startedAt);
		} else {
			this.#failed++;
		}

		return isRefused;
	}
}

function countTokens(body: Buffer): number {
	const {usage} = JSON.parse(body.toString()) as {
		usage: {prompt_tokens: number; completion_tokens: number};
	};
	return usage.prompt_tokens + usage.completion_tokens;
}
