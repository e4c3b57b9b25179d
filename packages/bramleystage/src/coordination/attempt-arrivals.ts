/**
 * When the attempts of one request may arrive at servers. An attempt may arrive long
 * after it was sent: a suspended server takes it when it goes on, also if the sender has
 * closed the connection. Whichever arrives first is the request, and the others are its
 * repeats, so a retry may make a repeat of the attempt before it.
 */

export type AttemptArrivals = {
	/** Retries that the request has spent. */
	readonly spent: number;
	/** When each attempt that was opened arrives at the latest, in milliseconds; infinite while that is unknown. */
	readonly latestAt: readonly number[];
};

/** Lists when each repeat arrives at the latest, in milliseconds; infinite while that is unknown. */
export function listRepeatTimes({spent, latestAt}: AttemptArrivals): number[] {
	const unopened = Math.max(0, spent + 1 - latestAt.length);
	return [
		...Array.from({length: unopened}, () => Number.POSITIVE_INFINITY),
		...latestAt.toSorted((a, b) => b - a),
	].slice(0, spent);
}
