/**
 * What an entry holds of the load of other hosts. A report lags, so work that
 * was sent since the report is added to it. A host that answers more slowly
 * than its engine claims is priced by its measured rate; that measurement
 * fades, so a host that was avoided for it is tried again.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId} from '../protocol/ids.js';
import type {LoadReport} from '../protocol/messages.js';

/** Load of one host as this entry estimates it now. */
export type LoadEstimate = {
	/** Work that waits, runs, or is on its way there. */
	readonly backlog: number;
	/** Work finished a second: the claimed rate times its measured part. */
	readonly rate: number;
	/** Time of one step at the host, in milliseconds; 0 is unknown. */
	readonly stepMs: number;
};

type HostLoad = {
	report: LoadReport | undefined;
	/** Work sent before the last report that it may not count yet. */
	sentBefore: number;
	sentSince: number;
	lastSentAt: Milliseconds;
	stepMs: number;
	steppedAt: Milliseconds;
	/** Measured rate as a share of the claimed one, at most 1. */
	speed: number;
	measuredAt: Milliseconds;
};

/** What was measured of a host halves in this time, in milliseconds. */
const slownessHalfLifeMs = 4000;
/** Shares of the claimed rate between this and 1 are taken as 1. */
const ordinarySpeed = 0.5;
const leastSpeed = 0.01;
/** Work sent this shortly before a report may be missing from it, in milliseconds. */
const reportLagMs = 20;

export class LoadBook {
	readonly #hosts = new Map<HostId, HostLoad>();

	/** Number of hosts that something is held of. */
	get size(): number {
		return this.#hosts.size;
	}

	/** Takes a report; `claimedRate` is what the engine says of itself. */
	recordReport(
		host: HostId,
		report: LoadReport,
		claimedRate: number,
		now: Milliseconds,
	): void {
		const load = this.#findLoad(host, now);
		const isRecent = now - load.lastSentAt < reportLagMs;
		load.report = report;
		load.sentBefore = isRecent ? load.sentSince : 0;
		load.sentSince = 0;
		if (report.stepMs !== undefined) {
			load.stepMs = report.stepMs;
			load.steppedAt = now;
		}

		if (report.rate > 0 && claimedRate > 0 && report.queued > 0) {
			const speed = report.rate / claimedRate;
			load.speed = Math.max(leastSpeed, Math.min(1, speed));
			load.measuredAt = now;
		}
	}

	/** Records work that was sent to a host. */
	recordSent(host: HostId, cost: number, now: Milliseconds): void {
		const load = this.#findLoad(host, now);
		load.sentSince += cost;
		load.lastSentAt = now;
	}

	/** Forgets a host that is gone. */
	remove(host: HostId): void {
		this.#hosts.delete(host);
	}

	/** Estimates a host's load now. */
	estimate(host: HostId, claimedRate: number, now: Milliseconds): LoadEstimate {
		const load = this.#hosts.get(host);
		if (!load) {
			return {backlog: 0, rate: claimedRate, stepMs: 0};
		}

		const {report, sentBefore, sentSince} = load;
		const reported = report ? report.queued + report.running : 0;
		return {
			backlog: reported + sentBefore + sentSince,
			rate: claimedRate * computeSpeed(load, now),
			stepMs: load.stepMs * computeFading(now - load.steppedAt),
		};
	}

	#findLoad(host: HostId, now: Milliseconds): HostLoad {
		const known = this.#hosts.get(host);
		if (known) {
			return known;
		}

		const created = {
			report: undefined,
			sentBefore: 0,
			sentSince: 0,
			stepMs: 0,
			steppedAt: now,
			speed: 1,
			measuredAt: now,
			lastSentAt: -Infinity,
		};
		this.#hosts.set(host, created);
		return created;
	}
}

function computeSpeed(
	{speed, measuredAt}: Pick<HostLoad, 'speed' | 'measuredAt'>,
	now: Milliseconds,
): number {
	if (speed >= ordinarySpeed) {
		return 1;
	}

	return 1 - (1 - speed) * computeFading(now - measuredAt);
}

const computeFading = (ageMs: Milliseconds) =>
	0.5 ** (Math.max(0, ageMs) / slownessHalfLifeMs);
