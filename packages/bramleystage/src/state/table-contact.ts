/**
 * How fresh a process's table is. A proof is a moment of the process's own
 * monotonic clock at which it is known that the table lacked no record: a log
 * read that reached the end proves the moment it was sent, and a peer that has
 * no more records passes on its proof. A peer's report counts from the moment
 * that this process sent what the report echoes, so that reports which lay in
 * a buffer while the process was paused prove nothing new.
 *
 * Without a fresh proof a process takes no new work, unless the log is out for
 * everyone: it hears most of the hosts it knows, in most of their data
 * centres, and none of them has more records than itself.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {
	DataCentreId,
	HostId,
	Incarnation,
	LogOffset,
} from '../protocol/ids.js';
import type {TableReport} from '../protocol/table-messages.js';

/** What a peer last said of its table. */
export type TablePeer = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
	readonly dataCentre: DataCentreId;
	readonly next: LogOffset;
	/** The peer's own clock, to be echoed to it. */
	readonly sentAt: number;
	/** Moment until which the peer is known to have been alive. */
	readonly heardAt: Milliseconds;
};

export type TableContact = {
	readonly provedAt: Milliseconds | undefined;
	readonly peers: ReadonlyMap<HostId, TablePeer>;
};

/** Longest age of a proof with which a process takes new work. */
export const staleAfterMs = 2500;
/** A peer that was not heard for this long is forgotten. */
const forgetAfterMs = 600_000;

export const createTableContact = (): TableContact => ({
	provedAt: undefined,
	peers: new Map(),
});

/** Records a log read that reached the end of the log. */
export function recordLogRead(
	contact: TableContact,
	sentAt: Milliseconds,
): TableContact {
	return {...contact, provedAt: Math.max(contact.provedAt ?? sentAt, sentAt)};
}

/** Records a peer's report. `next` is this process's own offset. */
export function recordPeerReport(
	contact: TableContact,
	peer: Pick<TablePeer, 'host' | 'incarnation' | 'dataCentre'>,
	report: TableReport,
	{next, now}: {next: LogOffset; now: Milliseconds},
): TableContact {
	const {host, incarnation, dataCentre} = peer;
	const {echo, ageMs, sentAt} = report;
	const known = contact.peers.get(host);
	const heardAt = Math.max(echo ?? 0, known?.heardAt ?? 0);
	const peers = new Map(
		[...contact.peers].filter(([, each]) => now - each.heardAt < forgetAfterMs),
	);
	peers.set(host, {
		host,
		incarnation,
		dataCentre,
		next: report.next,
		sentAt,
		heardAt,
	});
	const proof =
		echo !== undefined && ageMs !== undefined && report.next <= next
			? echo - ageMs
			: undefined;
	const provedAt =
		proof === undefined
			? contact.provedAt
			: Math.max(contact.provedAt ?? proof, proof);
	return {provedAt, peers};
}

/** Forgets a host that has left. */
export function removePeer(contact: TableContact, host: HostId): TableContact {
	const peers = new Map(contact.peers);
	peers.delete(host);
	return {...contact, peers};
}

/** True if the process must take no new work. */
export function isTableStale(
	contact: TableContact,
	self: {readonly next: LogOffset; readonly dataCentre: DataCentreId},
	now: Milliseconds,
): boolean {
	if (
		contact.provedAt !== undefined &&
		now - contact.provedAt <= staleAfterMs
	) {
		return false;
	}

	return self.next === 0 || !isLogOutForAll(contact, self, now);
}

function isLogOutForAll(
	{peers}: TableContact,
	self: {readonly next: LogOffset; readonly dataCentre: DataCentreId},
	now: Milliseconds,
): boolean {
	const known = [...peers.values()];
	const heard = known.filter(({heardAt}) => now - heardAt <= staleAfterMs);
	const countCentres = (hosts: readonly TablePeer[]) =>
		new Set([self.dataCentre, ...hosts.map(({dataCentre}) => dataCentre)]).size;
	return (
		heard.length * 2 > known.length &&
		countCentres(heard) * 2 > countCentres(known) &&
		heard.every(({next}) => next <= self.next)
	);
}

/** Builds the report for a peer's next heartbeat. */
export function createTableReport(
	contact: TableContact,
	next: LogOffset,
	peer: {readonly host: HostId; readonly incarnation: Incarnation},
	now: Milliseconds,
): TableReport {
	const known = contact.peers.get(peer.host);
	return {
		next,
		ageMs:
			contact.provedAt === undefined
				? undefined
				: Math.max(0, now - contact.provedAt),
		sentAt: now,
		echo: known?.incarnation === peer.incarnation ? known.sentAt : undefined,
	};
}
