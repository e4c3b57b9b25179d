/**
 * Follows the changes of the engine's prefix cache, which arrive late and with
 * gaps, and keeps the agent's ledger of prefixes. Engines name their blocks by
 * tokens, which the agent can't match with prompts, so only the number of
 * removed blocks is used. A lost event may have been a removal and counts as
 * one. An engine that no longer has the last event read was restarted. Of one
 * that has never published events, nothing is reported.
 */
import http from 'node:http';
import {
	type LifeCycle,
	type Milliseconds,
	type PrefixBlocks,
	PrefixLedger,
	type PrefixReport,
} from 'bramleystage';
import {
	type CacheEvent,
	type CacheEvents,
	readCacheEvents,
} from './cache-events.js';

/** Reads the events from a number on; undefined if the engine tells none. */
export type ReadCacheEvents = (
	from: number,
) => Promise<CacheEvents | undefined>;

/** Tokens of a block of the engine until a stored event tells them. */
const defaultBlockTokens = 16;
/** A gap of more events than this invalidates all that is known. */
const maxGapEvents = 8;
/** Failed reads in a row after which nothing is known; a busy engine may miss one. */
const maxFailedReads = 5;

/** Creates the follower of the engine at a URL. */
export function createCacheFollower(
	url: string,
	lifeCycle: LifeCycle,
): CacheFollower {
	const connections = new http.Agent({noDelay: true});
	lifeCycle.register(() => {
		connections.destroy();
	});
	return new CacheFollower(async (from) =>
		readCacheEvents(url, from, connections),
	);
}

export class CacheFollower {
	readonly #ledger = new PrefixLedger();
	#isFollowing = false;
	#isReading = false;
	#failedReads = 0;
	/** Number of the last event read; undefined before the first. */
	#lastNumber: number | undefined;
	#blockTokens = defaultBlockTokens;
	/** Whether the events were read from the first one on and none was a removal yet. */
	#isFilling = false;

	constructor(private readonly readEvents: ReadCacheEvents) {}

	/** Records a prompt that the engine has run. */
	recordRun(blocks: PrefixBlocks, now: Milliseconds): void {
		if (this.#isFollowing) {
			this.#ledger.recordRun(blocks, now);
		}
	}

	/** Estimates how many leading tokens of a prompt the engine keeps. */
	estimateTokens(blocks: PrefixBlocks): number {
		return this.#ledger.estimateTokens(blocks);
	}

	/** Creates the report of the next heartbeat; undefined if the engine tells no events. */
	createReport(room: number): PrefixReport | undefined {
		return this.#isFollowing ? this.#ledger.createReport(room) : undefined;
	}

	/** Reads the events since the last time. A read still under way is not repeated. */
	async refresh(): Promise<void> {
		if (this.#isReading) {
			return;
		}

		this.#isReading = true;
		const from = this.#lastNumber ?? 0;
		const read = await this.readEvents(from);
		this.#isReading = false;
		if (!read) {
			this.#failedReads++;
			if (this.#failedReads === maxFailedReads) {
				this.#restart();
			}

			return;
		}

		this.#failedReads = 0;
		this.#isFollowing = true;
		const [first] = read.events;
		// The last event is read again: an engine that lacks it was restarted.
		if (this.#lastNumber !== undefined && first?.number !== this.#lastNumber) {
			this.#restart();
			return;
		}

		for (const event of read.events) {
			this.#applyEvent(event);
		}
	}

	#restart(): void {
		this.#ledger.reset();
		this.#lastNumber = undefined;
		this.#isFilling = false;
	}

	#applyEvent({number, type, tokens}: CacheEvent): void {
		if (number === this.#lastNumber) {
			return;
		}

		const lost =
			this.#lastNumber === undefined ? 0 : number - this.#lastNumber - 1;
		this.#isFilling ||= this.#lastNumber === undefined && number === 0;
		this.#lastNumber = number;
		this.#blockTokens = tokens?.length ?? this.#blockTokens;
		if (lost > maxGapEvents) {
			this.#ledger.reset();
		}

		const isRemoval = type === 'removed';
		if (isRemoval && this.#isFilling) {
			// All events before the first removal stored a block each.
			this.#isFilling = false;
			this.#ledger.recordCapacity(number * this.#blockTokens);
		}

		const removedBlocks = (this.#isFilling ? 0 : lost) + Number(isRemoval);
		if (removedBlocks > 0) {
			this.#ledger.recordRemoved(removedBlocks * this.#blockTokens);
		}
	}
}
