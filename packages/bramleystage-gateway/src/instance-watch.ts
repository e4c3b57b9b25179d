/**
 * Watches which instances of backend servers have ended, from refused connections,
 * engines' reports and the list. All of the gateway that treats an instance as
 * ended asks here; everything less certain is avoidance (backend-health.ts).
 */
import {
	type BackendId,
	type BackendInstance,
	type BackendsSnapshot,
	createInstanceEnds,
	type EndEvidence,
	findEndEvidence,
	type InstanceEnds,
	type InstanceWork,
	isLaterStart,
	type LifeCycle,
	type Logger,
	type PathStage,
	recordInstanceEnd,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import {pairwise} from 'rxjs';
import type {Fleet} from './fleet.js';
import type {EngineFailure, EnginePort, EngineReport} from './platform-port.js';

/** Least time between two log lines about the end of one instance, in milliseconds. */
const logIntervalMs = 1000;

export type InstanceWatchOptions = {
	readonly fleet: Fleet;
	readonly readReport: EnginePort['readReport'];
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class InstanceWatch {
	#ends: InstanceEnds = createInstanceEnds();

	constructor(private readonly options: InstanceWatchOptions) {
		const subscription = options.fleet.snapshots
			.pipe(pairwise())
			.subscribe(([previous, next]) => {
				this.#recordRestarts(previous, next);
			});
		options.lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Describes work that is sent to a listed server now. */
	describeWork(id: BackendId): InstanceWork {
		const {fleet, readClock} = this.options;
		const bornAt = fleet.snapshots.value.backends.get(id)?.bornAt ?? 0;
		return {id, bornAt, sentAt: readClock()};
	}

	/** Records that an instance has ended. */
	recordEnd(instance: BackendInstance, evidence: EndEvidence): void {
		const {logger, readClock} = this.options;
		const now = readClock();
		const sentAt = now - logIntervalMs;
		if (!findEndEvidence(this.#ends, {...instance, sentAt})) {
			logger.info('backend.ended', {
				backend: instance.id,
				born_at: instance.bornAt,
				evidence,
			});
		}

		this.#ends = recordInstanceEnd(this.#ends, instance, evidence, now);
	}

	/** Finds the evidence that the instance that was sent a piece of work has ended since. */
	findEndEvidence(work: InstanceWork): EndEvidence | undefined {
		return findEndEvidence(this.#ends, work);
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
		const {fleet, readReport} = this.options;
		if (fleet.health.isPaused(id)) {
			return undefined;
		}

		const instance = this.describeWork(id);
		const report = await readReport(address, timeoutMs);
		if (report.isErr()) {
			if (report.error.kind === 'refused') {
				this.recordEnd(instance, 'connectionRefused');
			}

			return report;
		}

		if (isLaterStart(report.value.bornAt, instance.bornAt)) {
			this.recordEnd(instance, 'restarted');
		}

		if (report.value.isLeaving) {
			fleet.recordLeaving(id);
		}

		return report;
	}

	#recordRestarts(previous: BackendsSnapshot, next: BackendsSnapshot): void {
		for (const [id, {bornAt}] of next.backends) {
			const known = previous.backends.get(id);
			if (known && isLaterStart(bornAt, known.bornAt)) {
				this.recordEnd(known, 'restarted');
			}
		}
	}
}
