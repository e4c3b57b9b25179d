/**
 * Load of other hosts as an entry estimates it. Reports lag, so work sent since
 * the last report is added to it. A host that works more slowly than its engine
 * claims is rated by its measured rate; the measurement decays over time, so
 * that a host avoided for its slowness is tried again.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId} from '../protocol/ids.js';
import type {LoadReport} from '../protocol/messages.js';

/** Estimated load of one host. */
export type LoadEstimate = {
	/** Work that is queued, running, or in transit to the host. */
	readonly backlog: number;
	/** Work finished a second: the claimed rate times the measured speed. */
	readonly rate: number;
	/** Duration of one step at the host, in milliseconds; 0 if unknown. */
	readonly stepMs: number;
};

type HostLoad = {
	report: LoadReport | undefined;
	/** Work sent shortly before the last report, which may not include it. */
	sentBeforeReport: number;
	sentSinceReport: number;
	lastSentAt: Milliseconds;
	stepMs: number;
	stepMeasuredAt: Milliseconds;
	/** Measured rate divided by the claimed one, at most 1. */
	speed: number;
	speedMeasuredAt: Milliseconds;
};

/** Half-life of a measured step time and of measured slowness, in milliseconds. */
const measurementHalfLifeMs = 4000;
/** A measured speed from this up to 1 counts as 1. */
const fullSpeedThreshold = 0.5;
const minSpeed = 0.01;
/** A report may not include work sent less than this before its arrival, in milliseconds. */
const reportLagMs = 20;

export class LoadTracker {
	readonly #hosts = new Map<HostId, HostLoad>();

	/** Number of hosts with recorded load. */
	get size(): number {
		return this.#hosts.size;
	}

	/** Records a report; `claimedRate` is the rate that the engine states for itself. */
	recordReport(
		host: HostId,
		report: LoadReport,
		claimedRate: number,
		now: Milliseconds,
	): void {
		const load = this.#findLoad(host, now);
		const isRecent = now - load.lastSentAt < reportLagMs;
		load.report = report;
		load.sentBeforeReport = isRecent ? load.sentSinceReport : 0;
		load.sentSinceReport = 0;
		if (report.stepMs !== undefined) {
			load.stepMs = report.stepMs;
			load.stepMeasuredAt = now;
		}

		if (report.rate > 0 && claimedRate > 0 && report.queued > 0) {
			const speed = report.rate / claimedRate;
			load.speed = Math.max(minSpeed, Math.min(1, speed));
			load.speedMeasuredAt = now;
		}
	}

	/** Records work sent to a host. */
	recordSent(host: HostId, cost: number, now: Milliseconds): void {
		const load = this.#findLoad(host, now);
		load.sentSinceReport += cost;
		load.lastSentAt = now;
	}

	/** Removes a host that is gone. */
	remove(host: HostId): void {
		this.#hosts.delete(host);
	}

	/** Estimates the current load of a host. */
	estimate(host: HostId, claimedRate: number, now: Milliseconds): LoadEstimate {
		const load = this.#hosts.get(host);
		if (!load) {
			return {backlog: 0, rate: claimedRate, stepMs: 0};
		}

		const {report, sentBeforeReport, sentSinceReport} = load;
		const reported = report ? report.queued + report.running : 0;
		return {
			backlog: reported + sentBeforeReport + sentSinceReport,
			rate: claimedRate * computeSpeed(load, now),
			stepMs: load.stepMs * computeDecay(now - load.stepMeasuredAt),
		};
	}

	#findLoad(host: HostId, now: Milliseconds): HostLoad {
		const known = this.#hosts.get(host);
		if (known) {
			return known;
		}

		const created = {
			report: undefined,
			sentBeforeReport: 0,
			sentSinceReport: 0,
			stepMs: 0,
			stepMeasuredAt: now,
			speed: 1,
			speedMeasuredAt: now,
			lastSentAt: -Infinity,
		};
		this.#hosts.set(host, created);
		return created;
	}
}

function computeSpeed(
	{speed, speedMeasuredAt}: Pick<HostLoad, 'speed' | 'speedMeasuredAt'>,
	now: Milliseconds,
): number {
	if (speed >= fullSpeedThreshold) {
		return 1;
	}

	return 1 - (1 - speed) * computeDecay(now - speedMeasuredAt);
}

const computeDecay = (ageMs: Milliseconds) =>
	0.5 ** (Math.max(0, ageMs) / measurementHalfLifeMs);
