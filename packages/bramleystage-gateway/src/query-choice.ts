/**
 * Which peer is queried next. Each peer is queried once before any is again, and the
 * gateways begin at different ones; those that were silent are left out for a while. Of
 * the gateways that hear of a newer version from the same peer, a few query that one,
 * and the others get it from these: so it sends few copies, however many there are.
 */

/** Time for which a peer that did not answer is not queried, in milliseconds. */
const silentBackoffMs = 2000;
/** Gateways that query the same announcer, on average. */
const maxAnnouncerQueries = 6;

export class QueryChoice {
	/** Place of the first peer that is queried among all peers, 0 to 1. */
	readonly #firstPlace: number;
	/** When each peer was last silent; steady-clock time in milliseconds. */
	readonly #silentAt = new Map<string, number>();
	#queryCount = 0;

	constructor(private readonly drawRandom: () => number) {
		this.#firstPlace = drawRandom();
	}

	/** Chooses the peer to query; `announcer` has announced what is wanted. */
	choosePeer(
		peers: readonly string[],
		announcer: string | undefined,
		now: number,
	): string | undefined {
		if (
			announcer !== undefined &&
			this.drawRandom() * peers.length < maxAnnouncerQueries
		) {
			return announcer;
		}

		const first = Math.floor(this.#firstPlace * peers.length);
		const start = (first + this.#queryCount) % peers.length;
		const order = [...peers.slice(start), ...peers.slice(0, start)];
		const index = Math.max(
			0,
			order.findIndex((address) => !this.#isSilent(address, now)),
		);
		this.#queryCount += index + 1;
		return order[index];
	}

	recordSilence(address: string, now: number): void {
		this.#silentAt.set(address, now);
	}

	#isSilent(address: string, now: number): boolean {
		const silentAt = this.#silentAt.get(address);
		if (silentAt !== undefined && now - silentAt >= silentBackoffMs) {
			this.#silentAt.delete(address);
			return false;
		}

		return silentAt !== undefined;
	}
}
