/**
 * Hosts known to a process. Data from a session (offers, load, leaving,
 * incarnation) takes precedence over the platform's host list, which lags and
 * serves to find hosts to open sessions to.
 */
import type {DataCentreId, HostId, Incarnation} from '../protocol/ids.js';
import type {Heartbeat, LoadReport, Offer} from '../protocol/messages.js';
import type {PrefixReport} from '../protocol/prefix-messages.js';
import {
	computeSlowStartShare,
	type HostHistories,
	recordHeartbeat,
	recordSessionLost,
} from './host-membership.js';

/** A host as the platform lists it. */
export type ListedHost = {
	readonly host: HostId;
	readonly role: 'entry' | 'agent';
	readonly dataCentre: DataCentreId;
	/** `host:port` of its session listener. */
	readonly address: string;
	readonly state: 'live' | 'leaving';
};

/** A host with a live session. */
export type ConnectedHost = {
	readonly host: HostId;
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly incarnation: Incarnation;
	readonly leaving: boolean;
	readonly offers: readonly Offer[];
	readonly load: LoadReport;
	/** Absent if the agent reports no prefixes. */
	readonly prefixes?: PrefixReport | undefined;
	/** Steady-clock time at which the load report arrived, in milliseconds. */
	readonly reportedAt: number;
	/** Smoothed round-trip time of the session, in milliseconds. */
	readonly roundTripMs: number;
	/** Share of its ordinary load during slow start, above 0; 1 if absent. */
	readonly share?: number;
};

export type HostsSnapshot = {
	readonly listed: ReadonlyMap<HostId, ListedHost>;
	readonly connected: ReadonlyMap<HostId, ConnectedHost>;
	/** State that outlives the sessions, of every host that had one. */
	readonly histories?: HostHistories;
};

export const createHosts = (): HostsSnapshot => ({
	listed: new Map(),
	connected: new Map(),
});

/** Replaces the platform's host list. */
export function applyHostList(
	hosts: HostsSnapshot,
	listed: readonly ListedHost[],
): HostsSnapshot {
	return {...hosts, listed: new Map(listed.map((host) => [host.host, host]))};
}

/** Sender and arrival time of a heartbeat. */
export type HeartbeatContext = Pick<
	ConnectedHost,
	'host' | 'address' | 'dataCentre' | 'incarnation'
> & {readonly now: number};

/** Records a heartbeat; returns the same snapshot for a replaced incarnation. */
export function applyHeartbeat(
	hosts: HostsSnapshot,
	{now, ...identity}: HeartbeatContext,
	heartbeat: Omit<Heartbeat, 'type'>,
): HostsSnapshot {
	const {host, incarnation} = identity;
	const known = hosts.connected.get(host);
	const history = recordHeartbeat(
		hosts.histories?.get(host),
		incarnation,
		heartbeat,
		now,
	);
	if (!history) {
		return hosts;
	}

	const current = known?.incarnation === incarnation ? known : undefined;
	return updateConnectedHost(
		{...hosts, histories: new Map(hosts.histories).set(host, history)},
		{
			...identity,
			leaving: history.isLeaving,
			offers: heartbeat.offers ?? current?.offers ?? [],
			load: heartbeat.load ?? current?.load ?? {queued: 0, running: 0, rate: 0},
			prefixes: heartbeat.prefixes ?? current?.prefixes,
			reportedAt: now,
			roundTripMs: current?.roundTripMs ?? 0,
			share: computeSlowStartShare(history, now),
		},
	);
}

/** Records that the last session to an incarnation ended. */
export function applySessionLost(
	hosts: HostsSnapshot,
	host: HostId,
	incarnation: Incarnation,
	now: number,
): HostsSnapshot {
	const history = hosts.histories?.get(host);
	const histories =
		history?.incarnation === incarnation
			? new Map(hosts.histories).set(host, recordSessionLost(history, now))
			: hosts.histories;
	return removeConnectedHost({...hosts, histories}, host, incarnation);
}

/** Adds a connected host, or replaces what is known of it. */
export function updateConnectedHost(
	hosts: HostsSnapshot,
	connectedHost: ConnectedHost,
): HostsSnapshot {
	const connected = new Map(hosts.connected);
	connected.set(connectedHost.host, connectedHost);
	return {...hosts, connected};
}

/** Removes a connected host, unless another incarnation has replaced the given one. */
export function removeConnectedHost(
	hosts: HostsSnapshot,
	host: HostId,
	incarnation: Incarnation,
): HostsSnapshot {
	if (hosts.connected.get(host)?.incarnation !== incarnation) {
		return hosts;
	}

	const connected = new Map(hosts.connected);
	connected.delete(host);
	return {...hosts, connected};
}

/** Lists the connected hosts that can take new work. */
export function listAvailableHosts(hosts: HostsSnapshot): ConnectedHost[] {
	return [...hosts.connected.values()].filter(
		(host) => !host.leaving && hosts.listed.get(host.host)?.state !== 'leaving',
	);
}
