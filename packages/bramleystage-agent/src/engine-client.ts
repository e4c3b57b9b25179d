/**
 * HTTP client of the model engine. Steps that become ready in the same turn of
 * the event loop are sent in one request; the engine streams each output as a
 * line as soon as it has it. A step without output in its expected time is
 * retried on a new connection, since the old one may never respond again. A
 * retry is safe: the engine returns the recorded output of a step that it has
 * run.
 */
import http from 'node:http';
import {
	createFailure,
	type HttpError,
	modelNameSchema,
	type Offer,
	openHttpResponse,
	parseJson,
	sendHttpRequest,
} from 'bramleystage';
import {err} from 'neverthrow';
import * as z from 'zod';
import {EngineConnections} from './engine-connections.js';
import {
	countLayerTokens,
	createStepBody,
	type EngineStep,
	formatSequenceName,
	formatStepKey,
	parseOutputLine,
	type SequenceName,
	type StepResult,
} from './engine-steps.js';
import {LineSplitter} from './line-splitter.js';

const engineSchema = z.object({
	model: modelNameSchema,
	version: z.string(),
	fromLayer: z.int(),
	toLayer: z.int(),
	acceleratorKind: z.string(),
	layerTokensPerSecond: z.number(),
});

/** Steps of one request to the engine, with how often each had been sent by then. */
type Batch = ReadonlyArray<{
	readonly pending: PendingStep;
	readonly timesSent: number;
}>;

type PendingStep = {
	readonly step: EngineStep;
	readonly resolve: (result: StepResult) => void;
	/** Number of requests that have contained the step. */
	timesSent: number;
};

const responseHeadTimeoutMs = 30_000;
const controlTimeoutMs = 1000;
const idleConnectionMs = 15_000;
/** Minimum time before a step is retried, in milliseconds. */
const minStepTimeoutMs = 400;
/** Factor by which a step may exceed the time that follows from the engine's reported rate. */
const stepTimeFactor = 4;
/** Maximum number of times that a step is sent; the timeout doubles each time. */
const maxStepRequests = 3;
/** How long outputs are still read after the timeout, in milliseconds. */
const lateOutputGraceMs = 5000;
/** Bytes of an offer, and of the answer to the end of a sequence. */
const maxControlAnswerBytes = 256 * 1024;
/** Bytes that may arrive without an output for a pending step, an incomplete line among them. */
const maxUnusedBytes = 4 * 1024 * 1024;
/** Lines that may arrive without one; late outputs of steps that were retried are some hundred. */
const maxUnusedLines = 1000;
const msPerSecond = 1000;
const okStatus = 200;

const connectionOptions = {noDelay: true, timeout: idleConnectionMs};
const createStepConnections = () =>
	new EngineConnections({...connectionOptions, keepAlive: true});

export class EngineClient {
	/** Connections for steps; replaced when one of them seems unresponsive. */
	#stepConnections = createStepConnections();
	readonly #controlConnections = new http.Agent(connectionOptions);
	readonly #pendingSteps = new Map<string, PendingStep>();
	#unsentSteps: PendingStep[] = [];
	#pendingLayerTokens = 0;
	#layerTokensPerSecond = Infinity;

	constructor(private readonly url: string) {}

	/**
	 * Reads the layers that the engine offers; undefined if it can't be reached or
	 * its response is invalid.
	 */
	async readOffer(): Promise<Offer | undefined> {
		const response = await sendHttpRequest({
			method: 'GET',
			url: `${this.url}/v1/engine`,
			agent: this.#controlConnections,
			timeoutMs: controlTimeoutMs,
			maxBodyBytes: maxControlAnswerBytes,
		});
		if (response.isErr()) {
			return undefined;
		}

		const engine = engineSchema.safeParse(
			parseJson(response.value.body.toString()),
		);
		if (!engine.success) {
			return undefined;
		}

		this.#layerTokensPerSecond = engine.data.layerTokensPerSecond;
		return {kind: 'layers', ...engine.data};
	}

	/** Runs one step; steps requested in the same turn of the event loop share a request. */
	async runStep(step: EngineStep): Promise<StepResult> {
		this.#pendingLayerTokens += countLayerTokens(step);
		const result = await new Promise<StepResult>((resolve) => {
			this.#enqueue({step, resolve, timesSent: 0});
		});
		this.#pendingLayerTokens -= countLayerTokens(step);
		return result;
	}

	/** Deletes a sequence's state at the engine; retried once, on a new connection. */
	async closeSequence(closed: SequenceName): Promise<void> {
		const name = encodeURIComponent(formatSequenceName(closed));
		const request = {
			method: 'DELETE',
			url: `${this.url}/v1/sequences/${name}`,
			timeoutMs: controlTimeoutMs,
			maxBodyBytes: maxControlAnswerBytes,
		};
		const response = await sendHttpRequest({
			...request,
			agent: this.#stepConnections,
		});
		if (response.isErr()) {
			await sendHttpRequest({...request, agent: this.#controlConnections});
		}
	}

	close(): void {
		this.#stepConnections.destroy();
		this.#controlConnections.destroy();
	}

	#enqueue(pending: PendingStep): void {
		pending.timesSent++;
		this.#pendingSteps.set(formatStepKey(pending.step), pending);
		this.#unsentSteps.push(pending);
		if (this.#unsentSteps.length === 1) {
			setImmediate(() => {
				void this.#sendBatch();
			});
		}
	}

	async #sendBatch(): Promise<void> {
		const batch: Batch = this.#unsentSteps.map((pending) => ({
			pending,
			timesSent: pending.timesSent,
		}));
		this.#unsentSteps = [];
		const maxTimesSent = Math.max(...batch.map(({timesSent}) => timesSent));
		const abort = new AbortController();
		let timer = setTimeout(() => {
			this.#stepConnections = createStepConnections();
			this.#retryUnanswered(batch, createTimeoutError());
			timer = setTimeout(() => {
				abort.abort();
			}, lateOutputGraceMs);
		}, this.#computeTimeout(maxTimesSent));
		const error = await this.#readOutputs(batch, abort);
		clearTimeout(timer);
		this.#retryUnanswered(batch, error);
	}

	/** Reads outputs until the response ends; returns the error for steps that have none. */
	async #readOutputs(batch: Batch, abort: AbortController): Promise<HttpError> {
		const steps = batch.map(({pending}) => createStepBody(pending.step));
		const opened = await openHttpResponse({
			method: 'POST',
			url: `${this.url}/v1/steps`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({steps}),
			agent: this.#stepConnections,
			timeoutMs: responseHeadTimeoutMs,
			signal: abort.signal,
		});
		if (opened.isErr()) {
			return opened.error;
		}

		const {status, response, toHttpError, countBody} = opened.value;
		if (status !== okStatus) {
			response.destroy();
			return toHttpError(
				new Error(`The engine responded with status ${status}.`),
			);
		}

		try {
			const error = await this.#resolveLines(response, countBody);
			return toHttpError(error);
		} catch (error) {
			return toHttpError(error as Error);
		}
	}

	/**
	 * Resolves steps by the lines of an answer; resolves to why the others have no
	 * output. Leaving the loop closes the connection.
	 */
	async #resolveLines(
		response: AsyncIterable<Buffer>,
		countBody: (bytes: number) => void,
	): Promise<Error> {
		const lines = new LineSplitter();
		let unusedBytes = 0;
		let unusedLines = 0;
		for await (const chunk of response) {
			countBody(chunk.length);
			for (const line of lines.append(chunk)) {
				const isUsed = this.#resolveLine(line);
				unusedBytes = isUsed ? 0 : unusedBytes + line.length;
				unusedLines = isUsed ? 0 : unusedLines + 1;
				if (unusedLines > maxUnusedLines) {
					return createExcessError();
				}
			}

			if (unusedBytes + lines.pendingBytes > maxUnusedBytes) {
				return createExcessError();
			}
		}

		this.#resolveLine(lines.takeRest());
		return new Error('The engine returned no output for the step.');
	}

	/** Resolves the pending step that a line has the output of; returns whether there is one. */
	#resolveLine(line: string): boolean {
		const output = parseOutputLine(line);
		const pending = output && this.#pendingSteps.get(output.key);
		if (!pending) {
			return false;
		}

		this.#pendingSteps.delete(output.key);
		pending.resolve(output.result);
		return true;
	}

	/**
	 * Retries the steps of a batch that have no output. A step fails if the engine
	 * refused the connection or the step was sent the maximum number of times.
	 */
	#retryUnanswered(batch: Batch, error: HttpError): void {
		for (const {pending, timesSent} of batch) {
			const key = formatStepKey(pending.step);
			const isPending = this.#pendingSteps.get(key) === pending;
			if (!isPending || pending.timesSent !== timesSent) {
				continue;
			}

			const isUnsent = error.kind === 'connect' || error.kind === 'refused';
			if (!isUnsent && pending.timesSent < maxStepRequests) {
				this.#enqueue(pending);
			} else {
				this.#pendingSteps.delete(key);
				pending.resolve(err(createStepFailure(error)));
			}
		}
	}

	#computeTimeout(timesSent: number): number {
		// Time for all pending steps at the engine's reported rate.
		const workMs =
			(this.#pendingLayerTokens * msPerSecond) / this.#layerTokensPerSecond;
		return (minStepTimeoutMs + workMs * stepTimeFactor) * 2 ** (timesSent - 1);
	}
}

const createTimeoutError = (): HttpError => ({
	kind: 'timeout',
	sent: true,
	detail: 'The engine returned no output before the timeout.',
});

const createExcessError = () =>
	new Error('The engine sent too much that is no output.');

const createStepFailure = (error: HttpError) =>
	createFailure('backendLost', `${error.kind}: ${error.detail}`, {
		outcome: error.sent ? 'unknown' : 'not-run',
	});
