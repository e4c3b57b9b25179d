/**
 * Membership of hosts as their heartbeats report it. Only the incarnation seen
 * last counts: delayed frames of a replaced incarnation are ignored, and an
 * incarnation that announced that it is leaving never becomes available again.
 * A host that joins, or whose session breaks repeatedly, starts with a small
 * share of the load (slow start).
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {Heartbeat} from '../protocol/messages.js';
import type {HostsSnapshot} from './hosts.js';

/** Time after joining until a host takes its full share of the load. */
export const slowStartMs = 10_000;
/** Share of the ordinary load that a host starts with when it joins. */
export const slowStartShare = 0.1;
/** After a longer break a host starts slowly again, as if it joined. */
const shortBreakMs = 5000;
/** A break this soon after the previous one restarts the slow start, however short it is. */
const repeatedBreakMs = 30_000;
const maxRetiredIncarnations = 8;

/** State of a host that outlives its sessions. */
export type HostHistory = {
	/** Replaced incarnations, oldest first. */
	readonly retired: readonly Incarnation[];
	readonly incarnation: Incarnation;
	readonly joinedAt: Milliseconds;
	readonly isLeaving: boolean;
	readonly lostAt: Milliseconds | undefined;
	readonly previousLossAt: Milliseconds | undefined;
};

export type HostHistories = ReadonlyMap<HostId, HostHistory>;

/** Records a heartbeat; returns undefined if it is from a replaced incarnation. */
export function recordHeartbeat(
	history: HostHistory | undefined,
	incarnation: Incarnation,
	{leaving}: Pick<Heartbeat, 'leaving'>,
	now: Milliseconds,
): HostHistory | undefined {
	if (history?.retired.includes(incarnation)) {
		return undefined;
	}

	if (history?.incarnation !== incarnation) {
		return {
			retired: history
				? [...history.retired, history.incarnation].slice(
						-maxRetiredIncarnations,
					)
				: [],
			incarnation,
			joinedAt: now,
			isLeaving: leaving,
			lostAt: undefined,
			previousLossAt: undefined,
		};
	}

	return {
		...history,
		joinedAt: isRejoin(history, now) ? now : history.joinedAt,
		isLeaving: history.isLeaving || leaving,
		lostAt: undefined,
		previousLossAt: history.lostAt ?? history.previousLossAt,
	};
}

/** Records that a host's last session ended. */
export function recordSessionLost(
	history: HostHistory,
	now: Milliseconds,
): HostHistory {
	return {...history, lostAt: history.lostAt ?? now};
}

function isRejoin(history: HostHistory, now: Milliseconds): boolean {
	const {lostAt, previousLossAt} = history;
	if (lostAt === undefined) {
		return false;
	}

	const isRepeated =
		previousLossAt !== undefined && lostAt - previousLossAt <= repeatedBreakMs;
	return isRepeated || now - lostAt > shortBreakMs;
}

/** Share of its ordinary load that a host gets, from the initial share to 1. */
export function computeSlowStartShare(
	{joinedAt}: HostHistory,
	now: Milliseconds,
): number {
	const rampProgress = (now - joinedAt) / slowStartMs;
	return Math.min(
		1,
		slowStartShare + (1 - slowStartShare) * Math.max(0, rampProgress),
	);
}

/**
 * Addresses to keep sessions to: the wanted ones of the host list, and those of
 * connected hosts that the list no longer has, so that their requests in flight
 * can finish.
 */
export function listSessionAddresses(
	hosts: HostsSnapshot,
	wanted: ReadonlySet<string>,
): Set<string> {
	const unlisted = [...hosts.connected.values()]
		.filter(({host}) => !hosts.listed.has(host))
		.map(({address}) => address);
	return new Set([...wanted, ...unlisted]);
}
