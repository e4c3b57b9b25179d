/**
 * What a process knows of the other hosts. What a session says (offers, load,
 * leaving, incarnation) goes before the platform's lagging host list, which
 * only names hosts to open sessions to.
 */
import type {DataCentreId, HostId, Incarnation} from '../protocol/ids.js';
import type {Heartbeat, LoadReport, Offer} from '../protocol/messages.js';
import {
	computeShare,
	type HostPasts,
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
	/** Present time when the load report arrived, in milliseconds. */
	readonly reportedAt: number;
	/** Smoothed round-trip time of the session, in milliseconds. */
	readonly roundTripMs: number;
	/** Share of its ordinary load while it joins, above 0; 1 if left out. */
	readonly share?: number;
};

export type HostsSnapshot = {
	readonly listed: ReadonlyMap<HostId, ListedHost>;
	readonly connected: ReadonlyMap<HostId, ConnectedHost>;
	/** What is remembered of hosts that sessions were open to. */
	readonly pasts?: HostPasts;
};

export const createHosts = (): HostsSnapshot => ({
	listed: new Map(),
	connected: new Map(),
});

/** Replaces the platform's list. */
export function applyHostList(
	hosts: HostsSnapshot,
	listed: readonly ListedHost[],
): HostsSnapshot {
	return {...hosts, listed: new Map(listed.map((host) => [host.host, host]))};
}

/** Who a heartbeat came from, and when. */
export type HeartbeatContext = Pick<
	ConnectedHost,
	'host' | 'address' | 'dataCentre' | 'incarnation'
> & {readonly now: number};

/** Records a heartbeat; gives the same snapshot for a replaced incarnation. */
export function applyHeartbeat(
	hosts: HostsSnapshot,
	{now, ...identity}: HeartbeatContext,
	heartbeat: Omit<Heartbeat, 'type'>,
): HostsSnapshot {
	const {host, incarnation} = identity;
	const known = hosts.connected.get(host);
	const past = recordHeartbeat(
		hosts.pasts?.get(host),
		incarnation,
		heartbeat,
		now,
	);
	if (!past) {
		return hosts;
	}

	const current = known?.incarnation === incarnation ? known : undefined;
	return updateConnectedHost(
		{...hosts, pasts: new Map(hosts.pasts).set(host, past)},
		{
			...identity,
			leaving: past.isLeaving,
			offers: heartbeat.offers ?? current?.offers ?? [],
			load: heartbeat.load ?? current?.load ?? {queued: 0, running: 0, rate: 0},
			reportedAt: now,
			roundTripMs: current?.roundTripMs ?? 0,
			share: computeShare(past, now),
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
	const past = hosts.pasts?.get(host);
	const pasts =
		past?.incarnation === incarnation
			? new Map(hosts.pasts).set(host, recordSessionLost(past, now))
			: hosts.pasts;
	return removeConnectedHost({...hosts, pasts}, host, incarnation);
}

/** Records what a session said of its host. */
export function updateConnectedHost(
	hosts: HostsSnapshot,
	host: ConnectedHost,
): HostsSnapshot {
	const connected = new Map(hosts.connected);
	connected.set(host.host, host);
	return {...hosts, connected};
}

/** Forgets a host whose last session ended, unless a newer incarnation took its place. */
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

/** Hosts that may be given new work. */
export function listAvailableHosts(hosts: HostsSnapshot): ConnectedHost[] {
	return [...hosts.connected.values()].filter(
		(host) => !host.leaving && hosts.listed.get(host.host)?.state !== 'leaving',
	);
}
