/** Routes `POST /v1/chat/completions` and `POST /v1/completions`. */
import type {ServerResponse} from 'node:http';
import {
	type AdmissionController,
	createFailure,
	estimatePromptTokens,
	type CustomerId,
	type Failure,
	type RequestId,
	type TableView,
	type Token,
	writeJson,
} from 'bramleystage';
import {registerResponseClose, writeFailure} from './caller-response.js';
import {type Audit, type EntryMetrics, formatPipeline} from './audit.js';
import type {PermitSource, ReleasePermits} from './entry-limits.js';
import {
	type CompletionMetadata,
	buildCompletion,
	buildChunk,
	buildUsageChunk,
	formatCompletionId,
	type ModelBody,
	parseModelBody,
} from './model-body.js';
import {type AdmittedRequest, decideAdmission} from './model-admission.js';
import type {ModelRunManager} from './model-run-manager.js';

const msPerSecond = 1000;

export type ModelRouteOptions = {
	readonly runs: ModelRunManager;
	readonly admission: AdmissionController;
	readonly audit: Audit;
	readonly metrics: EntryMetrics;
	readonly readClock: () => number;
	readonly limits: PermitSource;
	/** Returns the Unix time in seconds; used only for the `created` field. */
	readonly readUnixSeconds: () => number;
};

/** Metadata and response of one request. */
export type RequestContext = {
	readonly request: RequestId;
	readonly customer: CustomerId;
	readonly view: TableView;
	/** Time from the arrival of the request to its deadline. */
	readonly deadlineMs: number;
	readonly response: ServerResponse;
};

/**
 * Validates, admits and starts one model request; its response is written as it
 * runs.
 */
export async function runModelRoute(
	options: ModelRouteOptions,
	context: RequestContext,
	kind: ModelBody['kind'],
	text: string,
): Promise<void> {
	const parsed = parseModelBody(kind, text);
	const body = parsed.unwrapOr(undefined);
	const failure = parsed.isErr()
		? parsed.error
		: checkModelBody(context, parsed.value);
	if (!body || failure) {
		const rejection = failure ?? createFailure('badRequest', '');
		const isKnown = body !== undefined && context.view.models.has(body.model);
		const subject = isKnown ? body.model : undefined;
		rejectRequest(options, context, subject ?? kind, rejection);
		return;
	}

	const permits = await options.limits.acquire({
		customer: context.customer,
		subject: {kind: 'model', name: body.model},
		tokens: estimatePromptTokens(body.prompt) + body.maxTokens,
	});
	if (permits.isErr()) {
		rejectRequest(options, context, body.model, permits.error);
		return;
	}

	const release = permits.value;
	const now = options.readClock();
	decideAdmission(options.admission, context, body, now).match(
		(admitted) => {
			startRun(options, context, body, {...admitted, release});
		},
		(failure) => {
			release();
			rejectRequest(options, context, body.model, failure);
		},
	);
}

function rejectRequest(
	options: ModelRouteOptions,
	context: RequestContext,
	subject: string,
	failure: Failure,
): void {
	writeFailure(context.response, failure);
	options.audit.recordRejected(context, subject, failure);
}

function checkModelBody(
	{view}: RequestContext,
	{model, maxTokens}: ModelBody,
): Failure | undefined {
	const cells = view.models.get(model);
	if (!cells) {
		return createFailure('unknownModel', `The table has no model ${model}.`);
	}

	if (cells.max_tokens !== undefined && maxTokens > cells.max_tokens) {
		return createFailure(
			'badRequest',
			`max_tokens: above the model's limit of ${cells.max_tokens}`,
		);
	}

	return undefined;
}

function startRun(
	options: ModelRouteOptions,
	context: RequestContext,
	body: ModelBody,
	admitted: AdmittedRequest & {readonly release: ReleasePermits},
): void {
	const {request, customer, view, response, deadlineMs} = context;
	const startedAt = options.readClock();
	const writer = new CompletionWriter(response, {
		id: formatCompletionId(body.kind, request),
		created: options.readUnixSeconds(),
		body,
	});
	const recordTokenTiming = createTokenTimer(options, body.model, startedAt);
	options.runs.start({
		request,
		customer,
		customerCells: view.customers.get(customer) ?? {key_sha256: ''},
		modelCells: view.models.get(body.model) ?? {version: ''},
		body,
		deadlineMs,
		onToken(token) {
			recordTokenTiming();
			admitted.recordToken(options.readClock());
			writer.writeToken(token);
		},
		onEnd(failure, {attempts, stages}) {
			admitted.recordEnd(options.readClock());
			admitted.release();
			writer.finish(failure);
			options.audit.record({
				request,
				customer,
				subject: body.model,
				failure,
				attempts,
				pipeline: formatPipeline(stages),
				durationMs: options.readClock() - startedAt,
			});
		},
	});
	registerResponseClose(response, () => {
		options.runs.handle(request, {type: 'callerDisconnected'});
	});
}

function createTokenTimer(
	{metrics, readClock}: ModelRouteOptions,
	model: string,
	startedAt: number,
): () => void {
	let lastTokenAt: number | undefined;
	return () => {
		const now = readClock();
		const histogram =
			lastTokenAt === undefined
				? metrics.timeToFirstToken
				: metrics.timeBetweenTokens;
		histogram.observe(
			{model},
			(now - (lastTokenAt ?? startedAt)) / msPerSecond,
		);
		lastTokenAt = now;
	};
}

/**
 * Writes the response to a model request, as an event stream or as one JSON
 * body.
 */
class CompletionWriter {
	#text = '';
	#finishReason = 'stop';
	#tokenCount = 0;
	#promptTokens = 0;

	constructor(
		private readonly response: ServerResponse,
		private readonly metadata: CompletionMetadata,
	) {}

	writeToken({text, finish, promptTokens}: Token): void {
		// Later tokens report only the prompt tokens that their own step read.
		this.#promptTokens =
			this.#tokenCount === 0 ? (promptTokens ?? 0) : this.#promptTokens;
		this.#finishReason = finish ?? this.#finishReason;
		if (this.metadata.body.stream) {
			this.#writeChunk(text);
		} else {
			this.#text += text;
		}

		this.#tokenCount++;
	}

	finish(failure: Failure | undefined): void {
		if (failure) {
			writeFailure(this.response, failure);
			return;
		}

		const usage = {
			promptTokens: this.#promptTokens,
			completionTokens: this.#tokenCount,
		};
		if (!this.metadata.body.stream) {
			const completion = buildCompletion(
				this.metadata,
				this.#text,
				this.#finishReason,
				usage,
			);
			writeJson(this.response, 200, completion);
			return;
		}

		const reason = this.#finishReason;
		this.#writeEvent(buildChunk(this.metadata, {type: 'finish', reason}));
		if (this.metadata.body.includeUsage) {
			this.#writeEvent(buildUsageChunk(this.metadata, usage));
		}

		this.response.end('data: [DONE]\n\n');
	}

	#writeChunk(text: string): void {
		if (this.#tokenCount === 0 && this.metadata.body.kind === 'chat') {
			this.#writeEvent(buildChunk(this.metadata, {type: 'role'}));
		}

		this.#writeEvent(buildChunk(this.metadata, {type: 'text', text}));
	}

	#writeEvent(event: Record<string, unknown>): void {
		if (!this.response.headersSent) {
			this.response.writeHead(200, {
				'content-type': 'text/event-stream; charset=utf-8',
				'cache-control': 'no-cache',
			});
		}

		this.response.write(`data: ${JSON.stringify(event)}\n\n`);
	}
}
