/**
 * What this gateway's requests have seen of each backend server: successes and
 * failures (outlier avoidance), and pauses that servers asked for.
 */
import {
	type Avoidance,
	type BackendId,
	createAvoidance,
	createPauses,
	type FailureSignal,
	findFirstPauseEnd,
	isAvoided,
	isPaused,
	type LogFields,
	type Logger,
	parsePauseMs,
	type Pauses,
	recordFailure,
	recordPause,
	recordSuccess,
	removeFailures,
	removePause,
} from 'bramleystage';

/** Consecutive avoidances after which a server that is still listed is assumed to be lost. */
const minLostFailures = 3;

export type BackendHealthOptions = {
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Describes a server for the log. */
	readonly describeBackend: (id: BackendId) => LogFields;
};

export class BackendHealth {
	#avoidance: Avoidance = createAvoidance();
	#pauses: Pauses = createPauses();

	constructor(private readonly options: BackendHealthOptions) {}

	/** Records the time for which a backend server wants no further requests, as it sent it. */
	recordPause(id: BackendId, retryAfter: string): void {
		const pauseMs = parsePauseMs(retryAfter);
		const fields = {backend: id, retry_after: retryAfter, for_ms: pauseMs};
		if (pauseMs === undefined) {
			this.options.logger.warn('backend.pauseIgnored', fields);
			return;
		}

		this.options.logger.info('backend.paused', fields);
		const now = this.options.readClock();
		this.#pauses = recordPause(this.#pauses, id, pauseMs, now);
	}

	/** Whether a backend server wants no requests at present. */
	isPaused(id: BackendId): boolean {
		return isPaused(this.#pauses, id, this.options.readClock());
	}

	/** Computes the time until the first pause of the given servers ends, in milliseconds; undefined if none is paused. */
	computePauseMs(ids: readonly BackendId[]): number | undefined {
		const now = this.options.readClock();
		const end = findFirstPauseEnd(this.#pauses, ids, now);
		return end === undefined ? undefined : end - now;
	}

	/** Whether a server keeps failing although it is still listed. */
	isLost(id: BackendId): boolean {
		return (
			(this.#avoidance.get(id)?.consecutiveAvoidances ?? 0) >= minLostFailures
		);
	}

	/** Whether requests recently failed to reach a server. */
	isUnreachable(id: BackendId): boolean {
		return (
			this.isAvoided(id) && this.#avoidance.get(id)?.sign === 'unreachable'
		);
	}

	/** Records a sign of trouble at a server; `reason` only appears in the log. */
	recordFailure(id: BackendId, sign: FailureSignal, reason: string): void {
		const now = this.options.readClock();
		const next = recordFailure(this.#avoidance, id, sign, now);
		if (next !== this.#avoidance && isAvoided(next, id, now)) {
			const ms = Math.round((next.get(id)?.avoidedUntil ?? now) - now);
			this.options.logger.warn('backend.avoided', {
				backend: id,
				...this.options.describeBackend(id),
				sign,
				reason,
				for_ms: ms,
			});
		}

		this.#avoidance = next;
	}

	recordSuccess(id: BackendId): void {
		const now = this.options.readClock();
		this.#avoidance = recordSuccess(this.#avoidance, id, now);
	}

	isAvoided(id: BackendId): boolean {
		return isAvoided(this.#avoidance, id, this.options.readClock());
	}

	/** Removes the records of a server that is listed anew; the pause of one that has only returned holds. */
	removeRecords(id: BackendId, isReturned: boolean): void {
		this.#avoidance = removeFailures(this.#avoidance, id);
		if (!isReturned) {
			this.#pauses = removePause(this.#pauses, id);
		}
	}
}
