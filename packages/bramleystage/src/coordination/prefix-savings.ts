/**
 * What an entry knows of the prompt prefixes that engines keep, and what they
 * save. The load that it addresses: conversations that share beginnings, where
 * prefill of a beginning that some host still holds is time that each caller
 * waits. What is known is learned from requests that this entry ran and from
 * agents' reports. It is a guess: reports arrive late and with gaps, and engines
 * evict. A saving therefore counts only as far as it exceeds the additional
 * wait at the host, and less where it proved wrong.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {HostId, Incarnation} from '../protocol/ids.js';
import type {PrefixReport} from '../protocol/prefix-messages.js';
import {computeBlockTokens, type PrefixBlocks} from './prefix-blocks.js';
import {HolderIndex} from './prefix-holders.js';
import {PrefixTable} from './prefix-table.js';

/** A host as one process; another incarnation keeps nothing of the previous one. */
export type HostProcess = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
};

/** Terms of the comparison of one host with the others that hold its layers. */
export type SavingTerms = {
	/** Prefill time of the cached tokens at the host. */
	readonly savedMs: Milliseconds;
	/** Expected wait at the host. */
	readonly waitMs: Milliseconds;
	/** Least expected wait among the hosts that hold the same layers. */
	readonly leastWaitMs: Milliseconds;
	readonly hasRoom: boolean;
};

type HostPrefixes = {
	readonly incarnation: Incarnation;
	readonly table: PrefixTable;
	readonly epoch: number;
	/** Tokens of blocks that are relied on at most. */
	capacityTokens: number;
	/** Number of the change that the next report should begin with at the latest. */
	nextChange: number;
	/** Steps that the agent accepted at its last report. */
	room: number;
	/** Requests sent to the host since its last report. */
	sentSinceReport: number;
	/** Service time of the requests sent for a saving since the last report. */
	drawnMs: Milliseconds;
	/** Tokens found cached divided by those expected, smoothed; at most 1. */
	trust: number;
	trustedAt: Milliseconds;
};

/** How long an unused block is expected to stay cached, in milliseconds. */
const retentionMs = 120_000;
/** Share of a reported capacity that is relied on: other entries' prompts use it too. */
const reliedCapacityShare = 0.75;
/** Weight of one result in the trust of a host. */
const trustGain = 0.3;
/** Half-life of distrust, so that a host is tried again; in milliseconds. */
const distrustHalfLifeMs = 30_000;
/**
 * Price of a millisecond of additional wait in saved milliseconds. Above 1,
 * because reports of the load are older than the decision: at 1, the longest
 * wait was 3% to 7% above that of a choice without prefixes at 150 requests/s.
 */
const waitPrice = 2;

/** Computes the saving that is left after the additional wait; 0 if there is none. */
export function computeNetSaving({
	savedMs,
	waitMs,
	leastWaitMs,
	hasRoom,
}: SavingTerms): Milliseconds {
	const extraWaitMs = Math.max(0, waitMs - leastWaitMs);
	return hasRoom ? Math.max(0, savedMs - waitPrice * extraWaitMs) : 0;
}

export class PrefixSavings {
	readonly #hosts = new Map<HostId, HostPrefixes>();
	readonly #holders = new HolderIndex();

	/** Number of hosts whose prefixes are followed. */
	get size(): number {
		return this.#hosts.size;
	}

	/** Describes what is known, for `/dump`. */
	describe(now: Milliseconds): Record<string, unknown> {
		return Object.fromEntries(
			[...this.#hosts].map(([host, known]) => [
				host,
				{blocks: known.table.size, trust: computeTrust(known, now)},
			]),
		);
	}

	/**
	 * Records an agent's report. A new incarnation or epoch, a gap in the changes
	 * or the lack of a report invalidates what was known.
	 */
	recordReport(
		{host, incarnation}: HostProcess,
		report: PrefixReport | undefined,
		now: Milliseconds,
	): void {
		if (!report) {
			this.#hosts.delete(host);
			return;
		}

		const previous = this.#hosts.get(host);
		const known =
			previous && isContinued(previous, incarnation, report)
				? previous
				: this.#createHost({host, incarnation}, report, now);
		this.#applyChanges(host, known, report, now);
		known.room = report.room;
		known.sentSinceReport = 0;
		known.drawnMs = 0;
		known.capacityTokens =
			(report.capacityTokens ?? Infinity) * reliedCapacityShare;
		known.table.removeBeyond(known.capacityTokens);
	}

	/** Records that a host has run a prompt, and so keeps its blocks. */
	recordRun(
		process: HostProcess,
		blocks: PrefixBlocks,
		now: Milliseconds,
	): void {
		const known = this.#findHost(process);
		if (!known) {
			return;
		}

		for (const [index, block] of blocks.entries()) {
			known.table.add(block, computeBlockTokens(index), now);
			this.#holders.add(block, process.host);
		}

		known.table.removeBeyond(known.capacityTokens);
	}

	/** Records how many of the tokens that were expected to be cached were found. */
	recordFound(
		process: HostProcess,
		{expected, found}: {readonly expected: number; readonly found: number},
		now: Milliseconds,
	): void {
		const known = this.#findHost(process);
		if (known && expected > 0) {
			const trust = computeTrust(known, now);
			const result = Math.min(1, found / expected);
			known.trust = trust + (result - trust) * trustGain;
			known.trustedAt = now;
		}
	}

	/**
	 * Records that a request was sent to a host; `drawnMs` is its service time if
	 * a saving was counted there, else 0.
	 */
	recordSent(host: HostId, drawnMs: Milliseconds): void {
		const known = this.#hosts.get(host);
		if (known) {
			known.sentSinceReport++;
			known.drawnMs += drawnMs;
		}
	}

	/** Removes a host that is gone. */
	remove(host: HostId): void {
		this.#hosts.delete(host);
	}

	/** Lists hosts that may keep the longest known prefix of the blocks. */
	listHolders(blocks: PrefixBlocks): readonly HostId[] {
		return this.#holders.list(blocks);
	}

	/** Estimates the tokens of a prompt that a host keeps, before any weighting. */
	estimateHeldTokens(
		process: HostProcess,
		blocks: PrefixBlocks,
		now: Milliseconds,
	): number {
		const known = this.#findHost(process);
		return known?.table.estimateTokens(blocks, now - retentionMs) ?? 0;
	}

	/** Estimates the cached tokens of a prompt on a host, weighted by trust. */
	estimateCachedTokens(
		process: HostProcess,
		blocks: PrefixBlocks,
		now: Milliseconds,
	): number {
		const known = this.#findHost(process);
		return known
			? this.estimateHeldTokens(process, blocks, now) * computeTrust(known, now)
			: 0;
	}

	/** Whether a host accepts another step, as far as its last report tells. */
	hasRoom(host: HostId): boolean {
		const known = this.#hosts.get(host);
		return known !== undefined && known.room > known.sentSinceReport;
	}

	/**
	 * Estimates the wait that `otherEntries` add at a host and that its report
	 * does not include yet: other entries know the same prefixes, so each is
	 * expected to have sent there as much as this one.
	 */
	estimateUnseenWaitMs(host: HostId, otherEntries: number): Milliseconds {
		return (this.#hosts.get(host)?.drawnMs ?? 0) * otherEntries;
	}

	#findHost({host, incarnation}: HostProcess): HostPrefixes | undefined {
		const known = this.#hosts.get(host);
		return known?.incarnation === incarnation ? known : undefined;
	}

	#createHost(
		{host, incarnation}: HostProcess,
		{epoch, first, room}: PrefixReport,
		now: Milliseconds,
	): HostPrefixes {
		const created: HostPrefixes = {
			incarnation,
			table: new PrefixTable(),
			epoch,
			nextChange: first,
			room,
			capacityTokens: Infinity,
			sentSinceReport: 0,
			drawnMs: 0,
			trust: 1,
			trustedAt: now,
		};
		this.#hosts.set(host, created);
		return created;
	}

	#applyChanges(
		host: HostId,
		known: HostPrefixes,
		{first, blocks, removed}: PrefixReport,
		now: Milliseconds,
	): void {
		const removedIndexes = new Set(removed);
		for (const [index, block] of blocks.entries()) {
			if (first + index < known.nextChange) {
				continue;
			}

			if (removedIndexes.has(index)) {
				known.table.remove(block);
			} else {
				// Reports don't tell the position of a block; it has at least the
				// tokens of a first one.
				known.table.add(block, computeBlockTokens(0), now);
				this.#holders.add(block, host);
			}
		}

		known.nextChange = Math.max(known.nextChange, first + blocks.length);
	}
}

const isContinued = (
	known: HostPrefixes,
	incarnation: Incarnation,
	{epoch, first}: PrefixReport,
) =>
	known.incarnation === incarnation &&
	known.epoch === epoch &&
	first <= known.nextChange;

const computeTrust = (
	{trust, trustedAt}: Pick<HostPrefixes, 'trust' | 'trustedAt'>,
	now: Milliseconds,
) => 1 - (1 - trust) * 0.5 ** ((now - trustedAt) / distrustHalfLifeMs);
