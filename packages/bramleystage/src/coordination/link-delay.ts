/**
 * Delay of a process's own network link, measured by pings to peers that it
 * follows anyway. A peer that died, paused or is slow delays only its own
 * answers, so the least delay over the peers counts. A connection that is being
 * opened counts as a ping.
 */

/** Largest delay that is assumed, in milliseconds; it bounds how much later a lost server is noticed. */
export const maxLinkDelayMs = 350;
/** Age above which a measurement or an unanswered ping no longer counts, in milliseconds: three pings and their delay. */
const maxSampleAgeMs = 1000;
/** Delay above which the link counts as slow, in milliseconds. */
const slowLinkMs = 100;
/** Delay below which a slow link may count as normal again, in milliseconds. */
const normalLinkMs = 50;
/** Time for which the delay stays below that until the link counts as normal, in milliseconds. */
const minNormalMs = 1000;

/** What the pings to one peer have shown; times are in milliseconds. */
type PeerSample = {
	/** When the pings without an answer were sent, oldest first. */
	readonly unanswered: readonly number[];
	readonly measured?: {readonly roundTripMs: number; readonly at: number};
};

/** What is known of each peer, by its address. */
export type LinkDelay = ReadonlyMap<string, PeerSample>;

export type LinkEvent =
	| {
			readonly kind: 'pingSent';
			readonly peer: string;
			readonly sentAt: number;
	  }
	/** A message arrived that repeats a ping, which the peer held for a time. */
	| {
			readonly kind: 'pingRepeated';
			readonly peer: string;
			readonly sentAt: number;
			readonly heldMs: number;
	  }
	/** The connection ended for a reason other than silence. */
	| {readonly kind: 'peerClosed'; readonly peer: string};

export const createLinkDelay = (): LinkDelay => new Map();

/** Applies an event of a peer; samples that are too old are dropped. */
export function applyLinkEvent(
	state: LinkDelay,
	event: LinkEvent,
	now: number,
): LinkDelay {
	const next = new Map(
		[...state]
			.map(([peer, sample]) => [peer, selectRecent(sample, now)] as const)
			.filter(
				([, {unanswered, measured}]) => unanswered.length > 0 || measured,
			),
	);
	const {kind, peer} = event;
	const previous = next.get(peer) ?? {unanswered: []};
	if (kind === 'peerClosed') {
		next.delete(peer);
	} else if (kind === 'pingSent') {
		next.set(peer, {
			...previous,
			unanswered: [...previous.unanswered, event.sentAt],
		});
	} else if (previous.unanswered.includes(event.sentAt)) {
		const roundTripMs = Math.max(0, now - event.sentAt - event.heldMs);
		next.set(peer, {
			unanswered: previous.unanswered.filter((at) => at > event.sentAt),
			measured: {roundTripMs, at: now},
		});
	}

	return next;
}

/**
 * Computes the delay of the own link, in milliseconds: the least over the peers
 * of the last round trip, or of the time since the oldest unanswered ping if
 * that is longer. Without any round trip the longest wait counts, as a ping that
 * was only just sent shows nothing.
 */
export function computeLinkDelayMs(state: LinkDelay, now: number): number {
	const samples = [...state.values()].map((sample) => {
		const {unanswered, measured} = selectRecent(sample, now);
		return {
			waitMs: now - (unanswered[0] ?? now),
			roundTripMs: measured?.roundTripMs,
		};
	});
	const delays = samples.flatMap(({waitMs, roundTripMs}) =>
		roundTripMs === undefined ? [] : [Math.max(waitMs, roundTripMs)],
	);
	const delayMs =
		delays.length > 0
			? Math.min(...delays)
			: Math.max(0, ...samples.map(({waitMs}) => waitMs));
	return Math.min(maxLinkDelayMs, delayMs);
}

const selectRecent = (
	{unanswered, measured}: PeerSample,
	now: number,
): PeerSample => ({
	unanswered: unanswered.filter((at) => now - at <= maxSampleAgeMs),
	measured:
		measured && now - measured.at <= maxSampleAgeMs ? measured : undefined,
});

/** Whether the link counts as slow, for the log. */
export type LinkPace = {
	readonly isSlow: boolean;
	/** Time since which the delay has been low, in milliseconds; absent if it is not. */
	readonly lowSince?: number;
};

export const createLinkPace = (): LinkPace => ({isSlow: false});

/** Decides whether the link counts as slow; it counts as normal only after a time, so that changes are rare. */
export function decideLinkPace(
	{isSlow, lowSince}: LinkPace,
	delayMs: number,
	now: number,
): LinkPace {
	if (delayMs > slowLinkMs) {
		return {isSlow: true};
	}

	if (!isSlow || delayMs > normalLinkMs) {
		return {isSlow};
	}

	const since = lowSince ?? now;
	return now - since >= minNormalMs
		? {isSlow: false}
		: {isSlow: true, lowSince: since};
}
