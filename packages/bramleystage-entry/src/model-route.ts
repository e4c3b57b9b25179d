/** `POST /v1/chat/completions` and `/v1/completions`. */
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
import {registerCallerGone, writeFailure} from './answers.js';
import {type Audit, type EntryMetrics, formatPipeline} from './audit.js';
import type {AcquirePermits, ReleasePermits} from './entry-limits.js';
import {
	type AnswerHead,
	buildAnswer,
	buildChunk,
	buildUsageChunk,
	formatAnswerId,
	type ModelBody,
	parseModelBody,
} from './model-body.js';
import {type AdmittedRequest, decideAdmission} from './model-admission.js';
import type {ModelDesk} from './model-desk.js';

const msPerSecond = 1000;

export type ModelRouteOptions = {
	readonly desk: ModelDesk;
	readonly admission: AdmissionController;
	readonly audit: Audit;
	readonly metrics: EntryMetrics;
	readonly readClock: () => number;
	readonly limits: AcquirePermits;
	/** Seconds since 1970, for the `created` field alone. */
	readonly readCreated: () => number;
};

/** Facts of one request. */
export type RouteContext = {
	readonly request: RequestId;
	readonly customer: CustomerId;
	readonly view: TableView;
	readonly deadlineMs: number;
	readonly response: ServerResponse;
};

/** Runs one model request to its end. */
export async function runModelRoute(
	options: ModelRouteOptions,
	context: RouteContext,
	kind: ModelBody['kind'],
	text: string,
): Promise<void> {
	const parsed = parseModelBody(kind, text);
	const body = parsed.unwrapOr(undefined);
	const failure = parsed.isErr()
		? parsed.error
		: findProblem(context, parsed.value);
	if (!body || failure) {
		const rejected = failure ?? createFailure('badRequest', '');
		const isKnown = body !== undefined && context.view.models.has(body.model);
		const subject = isKnown ? body.model : undefined;
		rejectRequest(options, context, subject ?? kind, rejected);
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
	context: RouteContext,
	subject: string,
	failure: Failure,
): void {
	writeFailure(context.response, failure);
	options.audit.recordRejected(context, subject, failure);
}

function findProblem(
	{view}: RouteContext,
	{model, maxTokens}: ModelBody,
): Failure | undefined {
	const cells = view.models.get(model);
	if (!cells) {
		return createFailure('unknownModel', `No model ${model} in the table.`);
	}

	if (cells.max_tokens !== undefined && maxTokens > cells.max_tokens) {
		return createFailure(
			'badRequest',
			`max_tokens: over the model's limit of ${cells.max_tokens}`,
		);
	}

	return undefined;
}

function startRun(
	options: ModelRouteOptions,
	context: RouteContext,
	body: ModelBody,
	admitted: AdmittedRequest & {readonly release: ReleasePermits},
): void {
	const {request, customer, view, response, deadlineMs} = context;
	const startedAt = options.readClock();
	const writer = new AnswerWriter(response, {
		id: formatAnswerId(body.kind, request),
		created: options.readCreated(),
		body,
	});
	const observe = createTokenObserver(options, body.model, startedAt);
	options.desk.start({
		request,
		customer,
		cells: view.customers.get(customer) ?? {key_sha256: ''},
		model: view.models.get(body.model) ?? {version: ''},
		body,
		deadlineMs,
		giveToken(token) {
			observe();
			admitted.recordToken(options.readClock());
			writer.writeToken(token);
		},
		finish(failure, {attempts, stages}) {
			admitted.finish(options.readClock());
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
	registerCallerGone(response, () => {
		options.desk.handle(request, {type: 'callerGone'});
	});
}

function createTokenObserver(
	{metrics, readClock}: ModelRouteOptions,
	model: string,
	startedAt: number,
): () => void {
	let last: number | undefined;
	return () => {
		const now = readClock();
		const histogram =
			last === undefined ? metrics.firstToken : metrics.betweenTokens;
		histogram.observe({model}, (now - (last ?? startedAt)) / msPerSecond);
		last = now;
	};
}

/** Writes an answer, streamed or whole. */
class AnswerWriter {
	#text = '';
	#finish = 'stop';
	#tokens = 0;
	#promptTokens = 0;

	constructor(
		private readonly response: ServerResponse,
		private readonly head: AnswerHead,
	) {}

	writeToken({text, finish, promptTokens}: Token): void {
		// Later tokens tell only what their own step read.
		this.#promptTokens =
			this.#tokens === 0 ? (promptTokens ?? 0) : this.#promptTokens;
		this.#finish = finish ?? this.#finish;
		if (this.head.body.stream) {
			this.#writeChunk(text);
		} else {
			this.#text += text;
		}

		this.#tokens++;
	}

	finish(failure: Failure | undefined): void {
		if (failure) {
			writeFailure(this.response, failure);
			return;
		}

		const usage = {
			promptTokens: this.#promptTokens,
			completionTokens: this.#tokens,
		};
		if (!this.head.body.stream) {
			const answer = buildAnswer(this.head, this.#text, this.#finish, usage);
			writeJson(this.response, 200, answer);
			return;
		}

		const reason = this.#finish;
		this.#writeEvent(buildChunk(this.head, {type: 'finish', reason}));
		if (this.head.body.includeUsage) {
			this.#writeEvent(buildUsageChunk(this.head, usage));
		}

		this.response.end('data: [DONE]\n\n');
	}

	#writeChunk(text: string): void {
		if (this.#tokens === 0 && this.head.body.kind === 'chat') {
			this.#writeEvent(buildChunk(this.head, {type: 'role'}));
		}

		this.#writeEvent(buildChunk(this.head, {type: 'text', text}));
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
