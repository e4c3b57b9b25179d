/**
 * Records the final outcome of each request for on-call engineers: counters,
 * latency histograms and one log line. Log lines are rate limited, far more
 * strictly for successes than for failures, and the next line has the count of
 * those left out.
 */
import {
	type BackendId,
	type Failure,
	type InstanceKey,
	type Logger,
	type RequestId,
	type RequestTrait,
	resultCodes,
} from 'bramleystage';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Call} from './call.js';
import type {TurnResult} from './permit-owner.js';
import {LineLimit} from './line-limit.js';
import type {OverloadState} from './overload-state.js';
import type {AttemptEnd, CallEnd} from './request-ends.js';
import {describeContent} from './request-traits.js';

/** Suspects that the line of a crash names. */
const maxLoggedSuspects = 12;
const secondMs = 1000;
/** Wait for a turn at a server from which on it is logged, in milliseconds. */
const minLoggedWaitMs = 20;

export class RequestRecorder {
	readonly registry = new Registry();
	readonly #requests = new Counter({
		name: 'bramleystage_gateway_requests_total',
		help: 'Requests by kind and what became of them',
		labelNames: ['kind', 'result'],
		registers: [this.registry],
	});

	readonly #durations = new Histogram({
		name: 'bramleystage_gateway_request_duration_seconds',
		help: 'Time from a request to its whole answer or its failure',
		labelNames: ['kind'],
		buckets: [0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30],
		registers: [this.registry],
	});

	readonly #firstEventDelays = new Histogram({
		name: 'bramleystage_gateway_first_event_seconds',
		help: 'Time from a streaming request to its first event',
		buckets: [0.03, 0.06, 0.12, 0.25, 0.5, 1, 2, 5],
		registers: [this.registry],
	});

	readonly #unreadTimes = new Histogram({
		name: 'bramleystage_gateway_unread_seconds',
		help: 'Time for which a request may have waited in the kernel until it was read',
		buckets: [0.03, 0.1, 0.3, 1, 3],
		registers: [this.registry],
	});

	readonly #attempts = new Counter({
		name: 'bramleystage_gateway_attempts_total',
		help: 'Attempts at backend servers by how they ended',
		labelNames: ['outcome'],
		registers: [this.registry],
	});

	readonly #runs = new Counter({
		name: 'bramleystage_gateway_runs_total',
		help: "Attempts that may have run, by whether or why not they count towards the route's limit",
		labelNames: ['counted'],
		registers: [this.registry],
	});

	readonly #crashes = new Counter({
		name: 'bramleystage_gateway_crashes_total',
		help: 'Ends of servers that cut requests of this gateway',
		registers: [this.registry],
	});

	readonly #unreadRefusals = new Counter({
		name: 'bramleystage_gateway_unread_refusals_total',
		help: 'Connections refused without reading their requests',
		registers: [this.registry],
	});

	readonly #earlyRefusals = new Counter({
		name: 'bramleystage_gateway_early_refusals_total',
		help: 'Requests refused for their head, for the size of their body or for that of all',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly #unreadAnswers = new Counter({
		name: 'bramleystage_gateway_unread_answers_total',
		help: 'Answers broken off, as callers left too many bytes of all answers unread',
		registers: [this.registry],
	});

	readonly #lines = new LineLimit();

	constructor(
		private readonly logger: Logger,
		private readonly readClock: () => number,
		/** Age of the list of backend servers, in milliseconds. */
		private readonly readListAge: () => number,
	) {}

	/** Registers a gauge; `read` is called whenever the metrics are collected. */
	registerGauge(name: string, help: string, read: () => number): void {
		const gauge: Gauge = new Gauge({
			name: `bramleystage_gateway_${name}`,
			help,
			registers: [this.registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	/** Records one attempt at a backend server. */
	recordAttempt(
		call: Call,
		{outcome, backend, where, detail, progress, runs, isUncounted}: AttemptEnd,
	): void {
		this.#attempts.inc({outcome});
		if (outcome !== 'notRun') {
			this.#runs.inc({counted: isUncounted ? 'ended' : 'yes'});
		}

		if (outcome !== 'answered' && this.#tryAcquireLine('failure')) {
			this.logger.warn('attempt.ended', {
				request: call.metadata.request,
				outcome,
				backend,
				runs,
				max_runs: call.route.maxAttempts,
				uncounted: isUncounted ? 'ended' : undefined,
				progress: outcome === 'notRun' ? undefined : progress,
				parts: call.metadata.promptParts.join(',') || undefined,
				...(outcome === 'unknown' && describeContent(call)),
				where,
				detail,
				version: call.version,
				list_age_ms: Math.round(this.readListAge()),
			});
		}
	}

	/** Records that a request was refused for its head or its body; one whose head is bad has no id. */
	recordEarlyRefusal(
		{result, detail}: Failure,
		request: RequestId | undefined,
	): void {
		this.#earlyRefusals.inc({result});
		if (this.#tryAcquireLine('failure')) {
			this.logger.warn('request.refused', {request, result, detail});
		}
	}

	/** Records that an answer was broken off, as callers leave too many bytes of all answers unread. */
	recordUnreadAnswer(unreadBytes: number): void {
		this.#unreadAnswers.inc();
		if (this.#tryAcquireLine('failure')) {
			this.logger.warn('answer.unread', {bytes: unreadBytes});
		}
	}

	/** Records that headers of an answer could not be written to the caller. */
	recordOmittedHeaders(call: Call, headers: readonly string[]): void {
		if (this.#tryAcquireLine('failure')) {
			this.logger.warn('answer.header_omitted', {
				request: call.metadata.request,
				headers: headers.join(', '),
			});
		}
	}

	/** Records that a running request was ordered to move onto another path. */
	recordReplacement(call: Call, path: string, outcome: string): void {
		this.#attempts.inc({outcome: `replaced_${outcome}`});
		if (this.#tryAcquireLine('failure')) {
			this.logger.warn('path.replaced', {
				request: call.metadata.request,
				outcome,
				where: path,
			});
		}
	}

	/** Records whether a request got its turn at a server that names a limit, after a wait in milliseconds. */
	recordTurn(
		call: Call,
		backend: BackendId,
		result: TurnResult,
		waitedMs: number,
	): void {
		const isLogged = !result.granted || waitedMs >= minLoggedWaitMs;
		if (isLogged && this.#tryAcquireLine('failure')) {
			this.logger.info('request.turn', {
				request: call.metadata.request,
				backend,
				result: result.granted ? 'granted' : 'refused',
				waited_ms: Math.round(waitedMs),
				room_in_ms: result.granted
					? undefined
					: Math.round(result.retryAfterMs),
			});
		}
	}

	/** Records the end of a server's instance with the traits of the requests that it was about to answer. */
	recordCrash(
		instance: InstanceKey,
		suspects: readonly RequestTrait[],
		cutRuns: number,
	): void {
		this.#crashes.inc();
		this.logger.warn('backend.crashed', {
			backend: instance,
			cut: cutRuns,
			suspects: suspects.slice(0, maxLoggedSuspects).join(', '),
		});
	}

	/** Records how calls go on while some are refused. */
	recordOverload(state: OverloadState): void {
		this.logger.warn('gateway.overloaded', {
			service: state.service,
			refused: state.refused,
			waiting: state.waiting,
			running: state.running,
			limit: Number.isFinite(state.limit) ? Math.round(state.limit) : undefined,
			interval_ms: Math.round(state.intervalMs),
			round_ms: Math.round(state.roundMs),
		});
	}

	/** Records that a connection was refused without reading its request. */
	recordUnreadRefusal(): void {
		this.#unreadRefusals.inc();
		if (this.#tryAcquireLine('success')) {
			this.logger.warn('connection.refused', {reason: 'overloaded'});
		}
	}

	recordEnd(call: Call, end: CallEnd): void {
		const durationMs = this.readClock() - call.arrivedAt;
		const {kind} = call.route;
		const result = end.failure?.result ?? 'ok';
		this.#requests.inc({kind, result});
		this.#durations.observe({kind}, durationMs / secondMs);
		this.#unreadTimes.observe(call.unreadMs / secondMs);
		const computeElapsedMs = (at: number | undefined) =>
			at === undefined ? undefined : Math.round(at - call.arrivedAt);
		const firstMs = computeElapsedMs(end.answerStartedAt);
		if (firstMs !== undefined) {
			this.#firstEventDelays.observe(firstMs / secondMs);
		}

		if (!this.#tryAcquireLine(end.failure ? 'failure' : 'success')) {
			return;
		}

		this.logger.info('request.ended', {
			request: call.metadata.request,
			route: call.route.name,
			customer: call.holder?.customer,
			version: call.version,
			list_age_ms: Math.round(this.readListAge()),
			result,
			code: resultCodes[result].code,
			outcome: end.failure?.outcome ?? 'ran',
			status: end.status,
			detail: end.failure?.detail,
			attempts: end.attempts,
			runs: end.runs,
			where: end.where,
			unread_ms: Math.round(call.unreadMs) || undefined,
			sent_ms: computeElapsedMs(end.sentAt),
			first_ms: firstMs,
			duration_ms: Math.round(durationMs),
			left_out: this.#lines.takeOmittedCount() || undefined,
		});
	}

	#tryAcquireLine(kind: 'success' | 'failure'): boolean {
		return this.#lines.tryAcquire(kind, this.readClock());
	}
}
