/**
 * The model engine over HTTP. Steps that are ready at the same time travel in
 * one request; each output comes back as a line of its own as soon as the
 * engine has it. A step whose output does not come in the time that the engine
 * should need is asked for again on a new connection, since the old one may be
 * silent for good: the engine gives its recorded output.
 */
import http from 'node:http';
import readline from 'node:readline';
import {
	createFailure,
	type HttpError,
	modelNameSchema,
	type Offer,
	openHttp,
	parseJson,
	sendHttp,
} from 'bramleystage';
import {err} from 'neverthrow';
import * as z from 'zod';
import {
	countLayerTokens,
	describeStep,
	type EngineStep,
	formatSequence,
	formatStepKey,
	parseOutput,
	type SequenceName,
	type StepResult,
} from './engine-steps.js';

const engineSchema = z.object({
	model: modelNameSchema,
	version: z.string(),
	fromLayer: z.int(),
	toLayer: z.int(),
	acceleratorKind: z.string(),
	layerTokensPerSecond: z.number(),
});

/** Steps of one request to the engine, with how often each had been asked for. */
type Batch = ReadonlyArray<{
	readonly pending: PendingStep;
	readonly asked: number;
}>;

type PendingStep = {
	readonly step: EngineStep;
	readonly resolve: (result: StepResult) => void;
	/** Requests that asked for the step. */
	asked: number;
};

const headTimeoutMs = 30_000;
const orderTimeoutMs = 1000;
const idleConnectionMs = 15_000;
/** Least time before a step is asked for again, in milliseconds. */
const minStepTimeoutMs = 400;
/** A step may take this many times what the engine's own rate says. */
const stepTimeFactor = 4;
/** A step is asked for at most this often; the wait doubles each time. */
const maxAsks = 3;
/** An answer that is late is still read for this long, in milliseconds. */
const lateAnswerMs = 5000;
const msPerSecond = 1000;

const createConnections = (keepAlive: boolean) =>
	new http.Agent({keepAlive, noDelay: true, timeout: idleConnectionMs});

export class EngineClient {
	/** Connections for steps; replaced when one of them seems silent. */
	#connections = createConnections(true);
	readonly #orders = createConnections(false);
	readonly #pending = new Map<string, PendingStep>();
	#ready: PendingStep[] = [];
	#pendingLayerTokens = 0;
	#layerTokensPerSecond = Infinity;

	constructor(private readonly url: string) {}

	/** Asks what the engine holds. */
	async readOffer(): Promise<Offer | undefined> {
		const answer = await sendHttp({
			method: 'GET',
			url: `${this.url}/v1/engine`,
			agent: this.#orders,
			timeoutMs: orderTimeoutMs,
		});
		if (answer.isErr()) {
			return undefined;
		}

		const engine = engineSchema.safeParse(
			parseJson(answer.value.body.toString()),
		);
		if (!engine.success) {
			return undefined;
		}

		this.#layerTokensPerSecond = engine.data.layerTokensPerSecond;
		return {kind: 'layers', ...engine.data};
	}

	/** Runs one step; steps asked for in the same turn of the loop share a request. */
	async runStep(step: EngineStep): Promise<StepResult> {
		this.#pendingLayerTokens += countLayerTokens(step);
		const result = await new Promise<StepResult>((resolve) => {
			this.#ask({step, resolve, asked: 0});
		});
		this.#pendingLayerTokens -= countLayerTokens(step);
		return result;
	}

	/** Drops a sequence's state at the engine. */
	async closeSequence(closed: SequenceName): Promise<void> {
		const name = encodeURIComponent(formatSequence(closed));
		const order = {
			method: 'DELETE',
			url: `${this.url}/v1/sequences/${name}`,
			timeoutMs: orderTimeoutMs,
		};
		const answer = await sendHttp({...order, agent: this.#connections});
		if (answer.isErr()) {
			await sendHttp({...order, agent: this.#orders});
		}
	}

	close(): void {
		this.#connections.destroy();
		this.#orders.destroy();
	}

	#ask(pending: PendingStep): void {
		pending.asked++;
		this.#pending.set(formatStepKey(pending.step), pending);
		this.#ready.push(pending);
		if (this.#ready.length === 1) {
			setImmediate(() => {
				void this.#sendReady();
			});
		}
	}

	async #sendReady(): Promise<void> {
		const batch: Batch = this.#ready.map((pending) => ({
			pending,
			asked: pending.asked,
		}));
		this.#ready = [];
		const asks = Math.max(...batch.map(({asked}) => asked));
		const ending = new AbortController();
		let timer = setTimeout(() => {
			this.#connections = createConnections(true);
			this.#askAgain(batch, createTimeout());
			timer = setTimeout(() => {
				ending.abort();
			}, lateAnswerMs);
		}, this.#computeTimeout(asks));
		const error = await this.#readOutputs(batch, ending);
		clearTimeout(timer);
		this.#askAgain(batch, error);
	}

	/** Reads outputs until the answer ends; gives why steps may lack one. */
	async #readOutputs(
		batch: Batch,
		ending: AbortController,
	): Promise<HttpError> {
		const steps = batch.map(({pending}) => describeStep(pending.step));
		const opened = await openHttp({
			method: 'POST',
			url: `${this.url}/v1/steps`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({steps}),
			agent: this.#connections,
			timeoutMs: headTimeoutMs,
			signal: ending.signal,
		});
		if (opened.isErr()) {
			return opened.error;
		}

		const {response, fail} = opened.value;
		try {
			for await (const line of readline.createInterface({input: response})) {
				this.#resolveLine(line);
			}

			return fail(new Error('The engine gave no output.'));
		} catch (error) {
			return fail(error as Error);
		}
	}

	#resolveLine(line: string): void {
		const output = parseOutput(line);
		if (output) {
			const pending = this.#pending.get(output.key);
			this.#pending.delete(output.key);
			pending?.resolve(output.result);
		}
	}

	/** Asks again for the steps of a batch that have no output, if they may be. */
	#askAgain(batch: Batch, error: HttpError): void {
		for (const {pending, asked} of batch) {
			const key = formatStepKey(pending.step);
			const isOpen = this.#pending.get(key) === pending;
			if (!isOpen || pending.asked !== asked) {
				continue;
			}

			if (error.kind !== 'connect' && pending.asked < maxAsks) {
				this.#ask(pending);
			} else {
				this.#pending.delete(key);
				pending.resolve(err(describeFailure(error)));
			}
		}
	}

	#computeTimeout(asks: number): number {
		const neededMs =
			(this.#pendingLayerTokens * msPerSecond) / this.#layerTokensPerSecond;
		return (minStepTimeoutMs + neededMs * stepTimeFactor) * 2 ** (asks - 1);
	}
}

const createTimeout = (): HttpError => ({
	kind: 'timeout',
	sent: true,
	detail: 'The engine gave no output in time.',
});

const describeFailure = (error: HttpError) =>
	createFailure('backendLost', `${error.kind}: ${error.detail}`, {
		outcome: error.sent ? 'unknown' : 'not-run',
	});
