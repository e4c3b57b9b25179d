/**
 * Freshness of a process's table: the latest time, on the process's own steady
 * clock, at which the table is known to have contained every record of the log.
 * A log read that reached the end proves this for the time at which the read was
 * sent. A peer that has no more records than this process passes on its own
 * proof: its age is subtracted from the time at which this process sent the
 * timestamp that the peer echoes, not from the arrival of the report. Reports
 * that were buffered while the process was paused therefore prove nothing about
 * the time of the pause.
 *
 * A process whose proof is too old accepts no new work, unless the log is down
 * for all processes: the process hears from a majority of its known peers, they
 * cover a majority of the data centres, and none of them has more records.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {
	DataCentreId,
	HostId,
	Incarnation,
	LogOffset,
} from '../protocol/ids.js';
import type {TableReport} from '../protocol/table-messages.js';

/** The last report of a peer about its table. */
export type TablePeer = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
	readonly dataCentre: DataCentreId;
	/** Offset of the next record that the peer would fold. */
	readonly next: LogOffset;
	/** Send time on the peer's own clock, echoed back to it. */
	readonly sentAt: number;
	/** Latest time at which the peer is known to have been alive, on this process's clock. */
	readonly lastHeardAt: Milliseconds;
};

export type TableFreshness = {
	/** Latest time at which the table was provably complete. */
	readonly provedCompleteAt: Milliseconds | undefined;
	readonly peers: ReadonlyMap<HostId, TablePeer>;
};

/** Age of the latest proof up to which a process accepts new work, in milliseconds. */
export const tableStaleAfterMs = 2500;
/** A peer that has been silent for this long is removed, in milliseconds. */
const peerExpiryMs = 600_000;

export const createTableFreshness = (): TableFreshness => ({
	provedCompleteAt: undefined,
	peers: new Map(),
});

/** Records a log read that was sent at `sentAt` and reached the end of the log. */
export function recordLogRead(
	freshness: TableFreshness,
	sentAt: Milliseconds,
): TableFreshness {
	return {
		...freshness,
		provedCompleteAt: Math.max(freshness.provedCompleteAt ?? sentAt, sentAt),
	};
}

/** Records a peer's report; `next` is the offset of this process's own table. */
export function recordPeerReport(
	freshness: TableFreshness,
	peer: Pick<TablePeer, 'host' | 'incarnation' | 'dataCentre'>,
	report: TableReport,
	{next, now}: {next: LogOffset; now: Milliseconds},
): TableFreshness {
	const {host, incarnation, dataCentre} = peer;
	const {echo, ageMs, sentAt} = report;
	const known = freshness.peers.get(host);
	const lastHeardAt = Math.max(echo ?? 0, known?.lastHeardAt ?? 0);
	const peers = new Map(
		[...freshness.peers].filter(
			([, each]) => now - each.lastHeardAt < peerExpiryMs,
		),
	);
	peers.set(host, {
		host,
		incarnation,
		dataCentre,
		next: report.next,
		sentAt,
		lastHeardAt,
	});
	const proof =
		echo !== undefined && ageMs !== undefined && report.next <= next
			? echo - ageMs
			: undefined;
	const provedCompleteAt =
		proof === undefined
			? freshness.provedCompleteAt
			: Math.max(freshness.provedCompleteAt ?? proof, proof);
	return {provedCompleteAt, peers};
}

/** Removes a host that has left. */
export function removePeer(
	freshness: TableFreshness,
	host: HostId,
): TableFreshness {
	const peers = new Map(freshness.peers);
	peers.delete(host);
	return {...freshness, peers};
}

/** Returns true if the process must not accept new work. */
export function isTableStale(
	freshness: TableFreshness,
	self: {readonly next: LogOffset; readonly dataCentre: DataCentreId},
	now: Milliseconds,
): boolean {
	if (
		freshness.provedCompleteAt !== undefined &&
		now - freshness.provedCompleteAt <= tableStaleAfterMs
	) {
		return false;
	}

	return self.next === 0 || !isLogUnavailableToAll(freshness, self, now);
}

function isLogUnavailableToAll(
	{peers}: TableFreshness,
	self: {readonly next: LogOffset; readonly dataCentre: DataCentreId},
	now: Milliseconds,
): boolean {
	const known = [...peers.values()];
	const reachable = known.filter(
		({lastHeardAt}) => now - lastHeardAt <= tableStaleAfterMs,
	);
	const countDataCentres = (hosts: readonly TablePeer[]) =>
		new Set([self.dataCentre, ...hosts.map(({dataCentre}) => dataCentre)]).size;
	return (
		reachable.length * 2 > known.length &&
		countDataCentres(reachable) * 2 > countDataCentres(known) &&
		reachable.every(({next}) => next <= self.next)
	);
}

/** Builds the report for a peer's next heartbeat. */
export function createTableReport(
	freshness: TableFreshness,
	next: LogOffset,
	peer: {readonly host: HostId; readonly incarnation: Incarnation},
	now: Milliseconds,
): TableReport {
	const known = freshness.peers.get(peer.host);
	return {
		next,
		ageMs:
			freshness.provedCompleteAt === undefined
				? undefined
				: Math.max(0, now - freshness.provedCompleteAt),
		sentAt: now,
		echo: known?.incarnation === peer.incarnation ? known.sentAt : undefined,
	};
}
