/**
 * Records the final outcome of each request, for auditors and metrics. A record
 * states the customer, outcome, result code, attempts and pipeline.
 */
import {
	type CustomerId,
	type Failure,
	type Logger,
	type RequestId,
	resultCodes,
	type Stage,
} from 'bramleystage';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {Subject} from 'rxjs';

export type RequestRecord = {
	readonly request: RequestId;
	/** Undefined if the bearer key is missing or unknown. */
	readonly customer: CustomerId | undefined;
	/** Name of the model or service in the table; otherwise a label of the route. */
	readonly subject: string;
	/** Undefined if the request was answered in full. */
	readonly failure: Failure | undefined;
	readonly attempts: number;
	/** Hosts and layers of the last attempt; only the host for a service call. */
	readonly pipeline: string;
	readonly durationMs: number;
};

const msPerSecond = 1000;

/** Formats a pipeline as `host[from-to)>host[from-to)`. */
export const formatPipeline = (stages: readonly Stage[]) =>
	stages
		.map(({host, fromLayer, toLayer}) => `${host}[${fromLayer}-${toLayer})`)
		.join('>');

/** Metrics of an entry. */
export class EntryMetrics {
	readonly registry = new Registry();
	readonly timeToFirstToken = new Histogram({
		name: 'bramleystage_time_to_first_token_seconds',
		help: 'Time from the request to its first token',
		labelNames: ['model'],
		buckets: [0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 2.4, 5, 10],
		registers: [this.registry],
	});

	readonly timeBetweenTokens = new Histogram({
		name: 'bramleystage_time_between_tokens_seconds',
		help: 'Time from one token of an answer to the next',
		labelNames: ['model'],
		buckets: [0.005, 0.01, 0.03, 0.062, 0.125, 0.25, 0.5, 1, 3],
		registers: [this.registry],
	});

	readonly #durations = new Histogram({
		name: 'bramleystage_request_duration_seconds',
		help: 'Time from a request to its whole answer or its failure',
		labelNames: ['subject', 'outcome'],
		buckets: [0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 120],
		registers: [this.registry],
	});

	readonly #requests = new Counter({
		name: 'bramleystage_requests_total',
		help: 'Requests by what became of them',
		labelNames: ['subject', 'outcome', 'result'],
		registers: [this.registry],
	});

	/** Registers a gauge whose value is read at each scrape. */
	registerGauge(name: string, help: string, read: () => number): void {
		const gauge: Gauge = new Gauge({
			name: `bramleystage_${name}`,
			help,
			registers: [this.registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	recordRequest({subject, failure, durationMs}: RequestRecord): void {
		const outcome = failure?.outcome ?? 'ran';
		const result = failure?.result ?? 'ok';
		this.#requests.inc({subject, outcome, result});
		this.#durations.observe({subject, outcome}, durationMs / msPerSecond);
	}
}

/** Logs, counts and emits the record of every ended request. */
export class Audit {
	readonly records = new Subject<RequestRecord>();

	constructor(
		private readonly logger: Logger,
		private readonly metrics: EntryMetrics,
	) {}

	/** Records a request that was rejected before anything was sent to an agent. */
	recordRejected(
		{request, customer}: Pick<RequestRecord, 'request' | 'customer'>,
		subject: string,
		failure: Failure,
	): void {
		this.#recordLocal({request, customer, subject, failure});
	}

	/** Records a request that the entry answered without an agent. */
	recordAnswered(
		{request, customer}: Pick<RequestRecord, 'request' | 'customer'>,
		subject: string,
	): void {
		this.#recordLocal({request, customer, subject, failure: undefined});
	}

	record(record: RequestRecord): void {
		const {request, customer, subject, failure, attempts, pipeline} = record;
		const result = failure?.result ?? 'ok';
		this.metrics.recordRequest(record);
		this.logger.info('request.ended', {
			request,
			customer,
			subject,
			outcome: failure?.outcome ?? 'ran',
			code: resultCodes[result].code,
			result,
			detail: failure?.detail,
			attempts,
			pipeline,
			duration_ms: Math.round(record.durationMs),
		});
		this.records.next(record);
	}

	#recordLocal(
		fields: Pick<RequestRecord, 'request' | 'customer' | 'subject' | 'failure'>,
	): void {
		this.record({...fields, attempts: 0, pipeline: '', durationMs: 0});
	}
}
