/**
 * What a process knows of the other hosts. What a session says (offers, load,
 * leaving, incarnation) goes before the platform's lagging host list, which
 * only names hosts to open sessions to.
 */
import type {DataCentreId, HostId, Incarnation} from '../protocol/ids.js';
import type {LoadReport, Offer} from '../protocol/messages.js';

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
};

export type HostsSnapshot = {
	readonly listed: ReadonlyMap<HostId, ListedHost>;
	readonly connected: ReadonlyMap<HostId, ConnectedHost>;
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
