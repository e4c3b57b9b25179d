/**
 * Chooses the gateways that each one follows: the first two others by address
 * that answer and have recently heard of the store. As all gateways choose alike,
 * the same few send updates to nearly all others. When the store turns away the
 * first two, everybody moves on to the next ones instead of reading for itself.
 */

/** Gateways that each one follows; if one is lost, the other remains. */
const maxFollowedPeers = 2;
/** Time for which a lost gateway is not followed, in milliseconds. */
const lostPeerBackoffMs = 2000;
/** Time for which a gateway that has lost the store is not followed, in milliseconds. */
const stalePeerBackoffMs = 6000;

/** Age of a gateway's list at which it is found to have lost the store, in milliseconds: two reads are missing. */
const staleListMs = 1400;
/** Gateways, counted by address, that read the store at once when nobody informs them. */
const immediateReaders = 8;
/** Age of the data at which all others read the store although nobody informs them, in milliseconds: by then they have found one of the first ones that reads it. */
const maxUninformedAgeMs = 1800;
/** Age of the data at which a gateway reads the store although another one informs it, in milliseconds. */
const maxInformedAgeMs = 1100;

/** What is known of a gateway that was followed; times are in milliseconds. */
export type PeerRecord = {
	/** When its connection was last lost. */
	readonly lostAt?: number;
	/** When it was last found to have lost the store. */
	readonly staleAt?: number;
};

const isRecent = (at: number | undefined, now: number, backoffMs: number) =>
	at !== undefined && now - at <= backoffMs;

/** Selects the gateways to follow; `peers` are sorted by address. */
export function selectFollowedPeers(
	peers: readonly string[],
	records: ReadonlyMap<string, PeerRecord>,
	now: number,
): string[] {
	const present = peers.filter(
		(address) =>
			!isRecent(records.get(address)?.lostAt, now, lostPeerBackoffMs),
	);
	const isStale = (address: string) =>
		isRecent(records.get(address)?.staleAt, now, stalePeerBackoffMs);
	// Gateways without the store still tell when they stop and serve again.
	return [
		...present.filter((address) => !isStale(address)),
		...present.filter((address) => isStale(address)),
	].slice(0, maxFollowedPeers);
}

/** Whether a followed gateway has lost the store; it has had time to send its state. */
export const isStalePeer = (
	peer: {readonly followedAt: number; readonly listReadAt: number},
	now: number,
): boolean =>
	now - peer.followedAt > staleListMs && now - peer.listReadAt > staleListMs;

/**
 * Computes the age of its data at which a gateway reads the store itself, in
 * milliseconds. When the readers lose the store, only a few gateways begin to
 * read at once, and the others find them.
 */
export function computeOwnReadAgeMs(isInformed: boolean, rank: number): number {
	if (isInformed) {
		return maxInformedAgeMs;
	}

	return rank < immediateReaders ? 0 : maxUninformedAgeMs;
}
