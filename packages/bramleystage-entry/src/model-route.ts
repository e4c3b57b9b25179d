/** `POST /v1/chat/completions` and `/v1/completions`. */
import type {ServerResponse} from 'node:http';
import {
	type Admission,
	createFailure,
	type CustomerId,
	type Failure,
	type RequestId,
	type TableView,
	type Token,
	writeJson,
} from 'bramleystage';
import {writeFailure} from './answers.js';
import {type Audit, type EntryMetrics, formatPipeline} from './audit.js';
import {
	type AnswerHead,
	buildAnswer,
	buildChunk,
	buildUsageChunk,
	type ModelBody,
	parseModelBody,
} from './model-body.js';
import {type AdmittedRequest, decideAdmission} from './model-admission.js';
import type {ModelDesk} from './model-desk.js';

const msPerSecond = 1000;

export type ModelRouteOptions = {
	readonly desk: ModelDesk;
	readonly admission: Admission;
	readonly audit: Audit;
	readonly metrics: EntryMetrics;
	readonly readClock: () => number;
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
export function runModelRoute(
	options: ModelRouteOptions,
	context: RouteContext,
	kind: ModelBody['kind'],
	text: string,
): void {
	const parsed = parseModelBody(kind, text);
	const body = parsed.unwrapOr(undefined);
	const failure = parsed.isErr()
		? parsed.error
		: findProblem(context, parsed.value);
	if (!body || failure) {
		const rejected = failure ?? createFailure('badRequest', '');
		writeFailure(context.response, rejected);
		recordRejected(options, context, body?.model ?? kind, rejected);
		return;
	}

	const admitted = decideAdmission(
		options.admission,
		context,
		body,
		options.readClock(),
	);
	if (admitted.isErr()) {
		writeFailure(context.response, admitted.error);
		recordRejected(options, context, body.model, admitted.error);
		return;
	}

	startRun(options, context, body, admitted.value);
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

function recordRejected(
	{audit}: ModelRouteOptions,
	{request, customer}: RouteContext,
	subject: string,
	failure: Failure,
): void {
	audit.record({
		request,
		customer,
		subject,
		failure,
		attempts: 0,
		pipeline: '',
		durationMs: 0,
	});
}

function startRun(
	options: ModelRouteOptions,
	context: RouteContext,
	body: ModelBody,
	admitted: AdmittedRequest,
): void {
	const {request, customer, view, response, deadlineMs} = context;
	const startedAt = options.readClock();
	const writer = new AnswerWriter(response, {
		id: request,
		created: options.readCreated(),
		body,
	});
	const observe = createTokenObserver(options, body.model, startedAt);
	response.once('close', () => {
		options.desk.handle(request, {type: 'callerGone'});
	});
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
		this.#promptTokens = promptTokens ?? this.#promptTokens;
		this.#finish = finish ?? this.#finish;
		if (this.head.body.stream) {
			const isFirst = this.#tokens === 0;
			this.#writeEvent(buildChunk(this.head, text, {isFirst, finish}));
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

		if (this.head.body.includeUsage) {
			this.#writeEvent(buildUsageChunk(this.head, usage));
		}

		this.response.end('data: [DONE]\n\n');
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
