/**
 * Fake of an engine with its agent: runs prompts one after another, keeps the
 * least recently used prefix blocks within a bound, and reports like an agent.
 */
import {
	computeBlockTokens,
	type ConnectedHost,
	PrefixLedger,
	toDataCentreId,
	toHostId,
	toIncarnation,
	toModelName,
} from 'bramleystage';

export const model = toModelName('model');
export const layerTokensPerSecond = 250_000;
const stepMs = 1;

export type Prompt = {
	/** Names of the prompt's blocks for the layers of the engine. */
	readonly blocks: readonly number[];
	readonly promptTokens: number;
	readonly answerTokens: number;
};

export type Run = {
	/** Time at which the prompt has run. */
	readonly firstAt: number;
	readonly cachedTokens: number;
};

type Job = {readonly startAt: number; readonly endAt: number; work: number};

export class FakeEngine {
	/** Longest time that a prompt waited here, in milliseconds. */
	worstWaitMs = 0;
	/** Prompt tokens that were computed. */
	prefilledTokens = 0;
	runs = 0;
	#incarnation = 1;
	#kept = new Map<number, number>();
	#keptTokens = 0;
	#ledger = new PrefixLedger();
	#jobs: Job[] = [];
	#freeAt = 0;

	constructor(
		private readonly name: string,
		private readonly span: {
			readonly fromLayer: number;
			readonly toLayer: number;
		},
		private readonly maxTokens: number,
		/** Whether reports leave out the work that the agent expects to be spared. */
		private readonly countsCached: boolean,
	) {}

	/** Runs a prompt after those that came before it. */
	run(prompt: Prompt, now: number): Run {
		const {blocks, promptTokens, answerTokens} = prompt;
		const layers = this.span.toLayer - this.span.fromLayer;
		const estimated = this.countsCached
			? this.#ledger.estimateTokens(blocks)
			: 0;
		const cachedTokens = this.#keep(blocks);
		this.#ledger.recordRun(blocks, now);
		const startAt = Math.max(now, this.#freeAt);
		const layerMs = (layers * 1000) / layerTokensPerSecond;
		const prefilled = promptTokens - cachedTokens;
		const firstAt = startAt + stepMs + prefilled * layerMs;
		this.#freeAt = firstAt + answerTokens * layerMs;
		const work = (promptTokens + answerTokens - estimated) * layers;
		this.#jobs.push({startAt, endAt: this.#freeAt, work});
		this.worstWaitMs = Math.max(this.worstWaitMs, startAt - now);
		this.prefilledTokens += prefilled;
		this.runs++;
		return {firstAt, cachedTokens};
	}

	/** Starts the engine and its agent again, without any prefix. */
	restart(): void {
		this.#incarnation++;
		this.#kept = new Map();
		this.#keptTokens = 0;
		this.#ledger = new PrefixLedger();
	}

	/** Describes the host as its heartbeat would, with `room` for further steps. */
	describe(now: number, room = 1000): ConnectedHost {
		this.#jobs = this.#jobs.filter(({endAt}) => endAt > now);
		const work = this.#jobs.map(
			(job) =>
				(job.work * (job.endAt - Math.max(now, job.startAt))) /
				(job.endAt - job.startAt),
		);
		let queued = 0;
		for (const each of work) {
			queued += each;
		}

		return {
			host: toHostId(this.name),
			address: '127.0.0.1:1',
			dataCentre: toDataCentreId('a'),
			incarnation: toIncarnation(String(this.#incarnation)),
			leaving: false,
			offers: [
				{
					kind: 'layers',
					model,
					version: '1',
					...this.span,
					acceleratorKind: 'large',
					layerTokensPerSecond,
				},
			],
			load: {queued, running: 0, rate: 0},
			prefixes: this.#ledger.createReport(room),
			reportedAt: now,
			roundTripMs: 0,
		};
	}

	/** Keeps the blocks of a prompt; returns its leading tokens that were kept. */
	#keep(blocks: readonly number[]): number {
		let cachedTokens = 0;
		const firstMissing = blocks.findIndex((block) => !this.#kept.has(block));
		for (const [index, block] of blocks.entries()) {
			const tokens = computeBlockTokens(index);
			if (firstMissing === -1 || index < firstMissing) {
				cachedTokens += tokens;
			}

			this.#keptTokens += this.#kept.delete(block) ? 0 : tokens;
			this.#kept.set(block, tokens);
		}

		this.#evict();
		return cachedTokens;
	}

	#evict(): void {
		let evicted = 0;
		for (const [block, tokens] of this.#kept) {
			if (this.#keptTokens <= this.maxTokens) {
				break;
			}

			this.#kept.delete(block);
			this.#keptTokens -= tokens;
			evicted += tokens;
		}

		if (evicted > 0) {
			this.#ledger.recordCapacity(this.maxTokens);
			this.#ledger.recordRemoved(evicted);
		}
	}
}
