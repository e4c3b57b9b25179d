/**
 * Watches which instances of backend servers have ended, from refused connections
 * of attempts and reports. All of the gateway that treats an instance as ended asks
 * here; everything less certain is avoidance (backend-health.ts).
 */
import {
	type BackendId,
	createInstanceEnds,
	hasInstanceEnded,
	type InstanceEnds,
	type Logger,
	type PathStage,
	recordInstanceEnd,
	type SentRequest,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {Fleet} from './fleet.js';
import type {LimitWatch} from './limit-watch.js';
import type {Permits} from './permits.js';
import type {EngineFailure, EnginePort, EngineReport} from './platform-port.js';

/** Least time between two log lines about the end of one instance, in milliseconds. */
const logIntervalMs = 1000;

/** Age of the list above which a server may leave without it showing so, in milliseconds: shorter than any server serves on after it says that it leaves. */
const maxListAgeMs = 1500;

export type InstanceWatchOptions = {
	readonly fleet: Fleet;
	readonly readReport: EnginePort['readReport'];
	readonly limits: Pick<LimitWatch, 'recordAnswer' | 'recordSend'>;
	readonly permits: Pick<Permits, 'tryAcquire'>;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class InstanceWatch {
	#ends: InstanceEnds = createInstanceEnds();

	constructor(private readonly options: InstanceWatchOptions) {}

	/**
	 * Records that a connection, tried at a steady-clock time in milliseconds, was
	 * refused. A server that leaves refuses connections while it still runs the
	 * requests that it has, so only one that is listed as serving has ended.
	 */
	recordRefusal(id: BackendId, triedAt: number): void {
		if (!this.#isServing(id)) {
			return;
		}

		const sentAt = triedAt - logIntervalMs;
		if (!hasInstanceEnded(this.#ends, {id, sentAt})) {
			this.options.logger.info('backend.ended', {backend: id});
		}

		this.#ends = recordInstanceEnd(this.#ends, id, triedAt);
	}

	/** Whether the instance that was sent a request has ended since. */
	hasEnded(request: SentRequest): boolean {
		return hasInstanceEnded(this.#ends, request);
	}

	/**
	 * Reads an engine's report and records what it shows of the instance: that it
	 * leaves or has ended. Resolves to undefined without a query while the engine
	 * wants none, or takes no more now.
	 */
	async readReport(
		{id, address}: Pick<PathStage, 'id' | 'address'>,
		timeoutMs: number,
	): Promise<Result<EngineReport, EngineFailure> | undefined> {
		const {fleet, limits, permits, readReport, readClock} = this.options;
		if (fleet.health.isPaused(id) || !(await permits.tryAcquire(id, 0))) {
			return undefined;
		}

		const triedAt = readClock();
		limits.recordSend(id, 'report');
		const report = await readReport(address, timeoutMs);
		if (report.isErr() && report.error.kind === 'refused') {
			this.recordRefusal(id, triedAt);
		} else if (report.isOk()) {
			const {isLeaving, namedLimit} = report.value;
			limits.recordAnswer(id, {text: namedLimit, sentAt: triedAt});
			if (isLeaving) {
				fleet.recordLeaving(id);
			}
		}

		return report;
	}

	/** Whether the list, if it is not out of date, shows a server that does not leave. */
	#isServing(id: BackendId): boolean {
		const {fleet, readClock} = this.options;
		const backend = fleet.snapshots.value.backends.get(id);
		const isListFresh = readClock() - fleet.readAt < maxListAgeMs;
		return isListFresh && backend !== undefined && !backend.isDraining;
	}
}
