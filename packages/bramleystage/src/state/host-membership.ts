/**
 * Membership as sessions tell it. The newest incarnation of a host that was
 * seen stays in place: a late frame of an earlier one changes nothing, and an
 * incarnation that said it is leaving never comes back. A host that joins, or
 * whose session breaks again and again, begins with a small share of the load.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {Heartbeat} from '../protocol/messages.js';
import type {HostsSnapshot} from './hosts.js';

/** A host takes its whole share this long after it joined. */
export const slowStartMs = 10_000;
/** Share of the ordinary load that a joining host begins with. */
export const firstShare = 0.1;
/** A break shorter than this is no new join, unless breaks repeat. */
const shortBreakMs = 5000;
/** A break within this time of the last is a repeated one. */
const repeatedBreakMs = 30_000;
const maxRetired = 8;

/** What is remembered of a host beyond its sessions. */
export type HostPast = {
	/** Incarnations that were replaced, oldest first. */
	readonly retired: readonly Incarnation[];
	readonly incarnation: Incarnation;
	readonly joinedAt: Milliseconds;
	readonly isLeaving: boolean;
	readonly lostAt: Milliseconds | undefined;
	readonly previousLossAt: Milliseconds | undefined;
};

export type HostPasts = ReadonlyMap<HostId, HostPast>;

/** Records a heartbeat; undefined if it is of a replaced incarnation. */
export function recordHeartbeat(
	past: HostPast | undefined,
	incarnation: Incarnation,
	{leaving}: Pick<Heartbeat, 'leaving'>,
	now: Milliseconds,
): HostPast | undefined {
	if (past?.retired.includes(incarnation)) {
		return undefined;
	}

	if (past?.incarnation !== incarnation) {
		return {
			retired: past
				? [...past.retired, past.incarnation].slice(-maxRetired)
				: [],
			incarnation,
			joinedAt: now,
			isLeaving: leaving,
			lostAt: undefined,
			previousLossAt: undefined,
		};
	}

	return {
		...past,
		joinedAt: isNewJoin(past, now) ? now : past.joinedAt,
		isLeaving: past.isLeaving || leaving,
		lostAt: undefined,
		previousLossAt: past.lostAt ?? past.previousLossAt,
	};
}

/** Records that a host's last session ended. */
export function recordSessionLost(past: HostPast, now: Milliseconds): HostPast {
	return {...past, lostAt: past.lostAt ?? now};
}

function isNewJoin(past: HostPast, now: Milliseconds): boolean {
	const {lostAt, previousLossAt} = past;
	if (lostAt === undefined) {
		return false;
	}

	const isRepeated =
		previousLossAt !== undefined && lostAt - previousLossAt <= repeatedBreakMs;
	return isRepeated || now - lostAt > shortBreakMs;
}

/** Share of its ordinary load that a host is given, from `firstShare` to 1. */
export function computeShare({joinedAt}: HostPast, now: Milliseconds): number {
	const ramp = (now - joinedAt) / slowStartMs;
	return Math.min(1, firstShare + (1 - firstShare) * Math.max(0, ramp));
}

/**
 * Addresses to keep sessions to: those wanted by the host list, and those of
 * live sessions to hosts that the list no longer names, whose work in flight
 * must end.
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
