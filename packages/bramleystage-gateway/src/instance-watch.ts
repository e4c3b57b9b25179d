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
import type {EngineFailure, EnginePort, EngineReport} from './platform-port.js';

/** Least time between two log lines about the end of one instance, in milliseconds. */
const logIntervalMs = 1000;

export type InstanceWatchOptions = {
	readonly fleet: Fleet;
	readonly readReport: EnginePort['readReport'];
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class InstanceWatch {
	#ends: InstanceEnds = createInstanceEnds();

	constructor(private readonly options: InstanceWatchOptions) {}

	/** Records that a connection, tried at a steady-clock time in milliseconds, was refused. */
	recordRefusal(id: BackendId, triedAt: number): void {
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
	 * wants none.
	 */
	async readReport(
		{id, address}: Pick<PathStage, 'id' | 'address'>,
		timeoutMs: number,
	): Promise<Result<EngineReport, EngineFailure> | undefined> {
		const {fleet, readReport, readClock} = this.options;
		if (fleet.health.isPaused(id)) {
			return undefined;
		}

		const triedAt = readClock();
		const report = await readReport(address, timeoutMs);
		if (report.isErr() && report.error.kind === 'refused') {
			this.recordRefusal(id, triedAt);
		} else if (report.isOk() && report.value.isLeaving) {
			fleet.recordLeaving(id);
		}

		return report;
	}
}
