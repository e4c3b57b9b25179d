/**
 * Selects the agents to which each entry keeps sessions, so that no process
 * needs connections to all others. Rendezvous hashing with a load bound assigns
 * each agent to the same number of entries. Part of them are entries of the
 * agent's own data centre, as far as the load bound allows. Every process that
 * knows the same lists computes the same subsets.
 */
import xxhash from 'xxhash-wasm';
import type {DataCentreId, HostId} from '../protocol/ids.js';

const {h32} = await xxhash();

/** A listed host and its data centre. */
export type PeerHost = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
};

/** Maximum number of agents of an entry, as a multiple of the mean. */
const maxLoadFactor = 1.08;

/** Share of an agent's entries that are preferably in its own data centre. */
const localShare = 0.5;

/** An entry, its hash, and the number of agents assigned to it so far. */
type HashedEntry = {
	readonly dataCentre: DataCentreId;
	readonly hash: number;
	load: number;
};

/**
 * Selects the agents to which the entry `self` keeps sessions: about `targetCount` of
 * them, or all if there are no more than that.
 */
export function selectAgentPeers(
	self: HostId,
	entries: readonly PeerHost[],
	agents: readonly PeerHost[],
	targetCount: number,
): HostId[] {
	if (agents.length <= targetCount || entries.length === 0) {
		return agents.map(({host}) => host);
	}

	const entriesPerAgent = Math.min(
		entries.length,
		Math.ceil((entries.length * targetCount) / agents.length),
	);
	const mean = (entriesPerAgent * agents.length) / entries.length;
	const maxLoad = Math.ceil(mean * maxLoadFactor);
	const hashed = entries.map(({host, dataCentre}): HashedEntry => ({
		dataCentre,
		hash: h32(host),
		load: 0,
	}));
	const own = hashed[entries.findIndex(({host}) => host === self)];
	const ordered = agents
		.map((agent) => ({...agent, hash: h32(agent.host)}))
		.toSorted((a, b) => a.hash - b.hash);
	return ordered
		.filter((agent) => {
			const chosen = chooseEntries(agent, hashed, entriesPerAgent, maxLoad);
			for (const entry of chosen) {
				entry.load++;
			}

			return own !== undefined && chosen.includes(own);
		})
		.map(({host}) => host);
}

/** Chooses the entries of an agent: the highest-scored ones below the load bound, local ones first. */
function chooseEntries(
	agent: {readonly hash: number; readonly dataCentre: DataCentreId},
	entries: readonly HashedEntry[],
	count: number,
	maxLoad: number,
): HashedEntry[] {
	const localCount = Math.floor(count * localShare);
	const best: ScoredEntry[] = [];
	const local: ScoredEntry[] = [];
	for (const entry of entries) {
		if (entry.load < maxLoad) {
			const score = computeScore(agent.hash, entry.hash);
			addScored(best, {entry, score}, count);
			if (entry.dataCentre === agent.dataCentre) {
				addScored(local, {entry, score}, localCount);
			}
		}
	}

	const chosen = local.map(({entry}) => entry);
	const others = best
		.map(({entry}) => entry)
		.filter((entry) => !chosen.includes(entry));
	return [...chosen, ...others.slice(0, count - chosen.length)];
}

type ScoredEntry = {readonly entry: HashedEntry; readonly score: number};

/** Inserts an entry into a list that keeps the `count` highest scores, the highest first. */
function addScored(
	best: ScoredEntry[],
	scored: ScoredEntry,
	count: number,
): void {
	const last = best.at(-1);
	if (count === 0 || (best.length === count && last!.score >= scored.score)) {
		return;
	}

	const index = best.findIndex(({score}) => scored.score > score);
	best.splice(index === -1 ? best.length : index, 0, scored);
	best.length = Math.min(best.length, count);
}

/** Mixes two 32-bit hashes into one score. */
function computeScore(a: number, b: number): number {
	/* eslint-disable no-bitwise -- integer mixing */
	let mixed = Math.imul(a ^ Math.imul(b, 0x9e_37_79_b1), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 15), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}
