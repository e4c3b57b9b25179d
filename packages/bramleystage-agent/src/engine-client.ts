/**
 * Steps of sequences at the model engine, over HTTP. Steps that are ready at
 * the same time travel in one request; each output comes back as a line of its
 * own as soon as the engine has it. A step is safe to send again: the engine
 * gives its recorded output.
 */
import http from 'node:http';
import readline from 'node:readline';
import {
	createFailure,
	type Failure,
	type HttpError,
	modelNameSchema,
	openHttp,
	parseJson,
	sendHttp,
	type StageOpen,
	type StepInput,
	type StepOutput,
	positionSchema,
	type Offer,
	type Position,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const outputSchema = z.union([
	z.object({
		sequence: z.string(),
		position: positionSchema,
		values: z.array(z.number()),
		token: z
			.object({id: z.int(), text: z.string(), isEnd: z.boolean()})
			.optional(),
		promptTokens: z.int().optional(),
	}),
	z.object({sequence: z.string(), position: positionSchema, error: z.string()}),
]);
const engineSchema = z.object({
	model: modelNameSchema,
	version: z.string(),
	fromLayer: z.int(),
	toLayer: z.int(),
	acceleratorKind: z.string(),
	layerTokensPerSecond: z.number(),
});

/** One step as the agent asks for it. */
export type EngineStep = {
	readonly open: StageOpen;
	readonly position: Position;
	readonly input: StepInput;
};

export type StepResult = Result<StepOutput, Failure>;

type PendingStep = {
	readonly step: EngineStep;
	readonly resolve: (result: StepResult) => void;
};

const stepTimeoutMs = 30_000;
const orderTimeoutMs = 2000;

/** Names the engine's sequence of one attempt of a request. */
export const formatSequence = ({request, attempt}: StageOpen) =>
	`${request}.${attempt}`;

export class EngineClient {
	readonly #agent = new http.Agent({
		keepAlive: true,
		noDelay: true,
	});

	/** Steps that have no output yet, by sequence. */
	readonly #outstanding = new Map<string, number>();
	/** Sequences to drop once their last step is back. */
	readonly #closing = new Set<string>();
	#ready: PendingStep[] = [];

	constructor(private readonly url: string) {}

	/** Asks what the engine holds. */
	async readOffer(): Promise<Offer | undefined> {
		const answer = await sendHttp({
			method: 'GET',
			url: `${this.url}/v1/engine`,
			agent: this.#agent,
			timeoutMs: orderTimeoutMs,
		});
		if (answer.isErr()) {
			return undefined;
		}

		const engine = engineSchema.safeParse(
			parseJson(answer.value.body.toString()),
		);
		return engine.success ? {kind: 'layers', ...engine.data} : undefined;
	}

	/** Runs one step; steps asked for in the same turn of the loop share a request. */
	async runStep(step: EngineStep): Promise<StepResult> {
		const sequence = formatSequence(step.open);
		this.#outstanding.set(sequence, this.#countOutstanding(sequence) + 1);
		const result = await this.#addStep(step);
		await this.#settleStep(sequence);
		return result;
	}

	/**
	 * Drops a sequence's state at the engine. A step that is on its way may make
	 * the sequence anew, so it is dropped again once the last one is back.
	 */
	async closeSequence(open: StageOpen): Promise<void> {
		const sequence = formatSequence(open);
		if (this.#countOutstanding(sequence) > 0) {
			this.#closing.add(sequence);
		}

		await this.#removeSequence(sequence);
	}

	close(): void {
		this.#agent.destroy();
	}

	#countOutstanding(sequence: string): number {
		return this.#outstanding.get(sequence) ?? 0;
	}

	async #settleStep(sequence: string): Promise<void> {
		const count = this.#countOutstanding(sequence) - 1;
		if (count > 0) {
			this.#outstanding.set(sequence, count);
			return;
		}

		this.#outstanding.delete(sequence);
		if (this.#closing.delete(sequence)) {
			await this.#removeSequence(sequence);
		}
	}

	async #removeSequence(sequence: string): Promise<void> {
		await sendHttp({
			method: 'DELETE',
			url: `${this.url}/v1/sequences/${encodeURIComponent(sequence)}`,
			agent: this.#agent,
			timeoutMs: orderTimeoutMs,
		});
	}

	async #addStep(step: EngineStep): Promise<StepResult> {
		return new Promise((resolve) => {
			this.#ready.push({step, resolve});
			if (this.#ready.length === 1) {
				setImmediate(() => {
					void this.#sendReady();
				});
			}
		});
	}

	async #sendReady(): Promise<void> {
		const pending = new Map(
			this.#ready.map((entry) => [formatStepKey(entry.step), entry]),
		);
		this.#ready = [];
		const steps = [...pending.values()].map(({step}) => describeStep(step));
		const opened = await openHttp({
			method: 'POST',
			url: `${this.url}/v1/steps`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({steps}),
			agent: this.#agent,
			timeoutMs: stepTimeoutMs,
		});
		if (opened.isErr()) {
			rejectPending(pending, opened.error);
			return;
		}

		const {response, fail} = opened.value;
		try {
			for await (const line of readline.createInterface({input: response})) {
				resolveLine(pending, line);
			}

			rejectPending(pending, fail(new Error('The engine gave no output.')));
		} catch (error) {
			rejectPending(pending, fail(error as Error));
		}
	}
}

function describeStep({
	open,
	position,
	input,
}: EngineStep): Record<string, unknown> {
	const stage = open.stages[open.index];
	return {
		sequence: formatSequence(open),
		position,
		fromLayer: stage?.fromLayer,
		toLayer: stage?.toLayer,
		priority: open.priority,
		input,
	};
}

const formatStepKey = ({open, position}: EngineStep) =>
	`${formatSequence(open)}/${position}`;

function resolveLine(pending: Map<string, PendingStep>, line: string): void {
	const output = outputSchema.safeParse(parseJson(line));
	if (!output.success) {
		return;
	}

	const key = `${output.data.sequence}/${output.data.position}`;
	const entry = pending.get(key);
	pending.delete(key);
	entry?.resolve(
		'error' in output.data
			? err(createFailure('outOfOrder', output.data.error))
			: ok(output.data),
	);
}

function rejectPending(
	pending: Map<string, PendingStep>,
	error: HttpError,
): void {
	const failure = createFailure(
		'backendLost',
		`${error.kind}: ${error.detail}`,
		{
			outcome: error.sent ? 'unknown' : 'not-run',
		},
	);
	for (const {resolve} of pending.values()) {
		resolve(err(failure));
	}

	pending.clear();
}
