/**
 * Which agents each entry keeps sessions to, so that no process talks to all
 * others. Each agent is given to a few entries by rendezvous hashing, with a cap
 * on what one entry is given; agents all have the same number of entries. Every
 * process that knows the same lists computes the same subsets. Entries of the
 * agent's own data centre come first, as far as the cap lets them.
 */
import xxhash from 'xxhash-wasm';
import type {DataCentreId, HostId} from '../protocol/ids.js';

const {h32} = await xxhash();

/** A host as the platform lists it, as far as subsets need it. */
export type PeerHost = {
	readonly host: HostId;
	readonly dataCentre: DataCentreId;
};

/** No entry is given more than this many times the mean. */
const capFactor = 1.08;

/** Share of an agent's entries that its own data centre may fill. */
const localShare = 0.5;

type HashedEntry = {
	readonly dataCentre: DataCentreId;
	readonly hash: number;
	load: number;
};

/** Selects the agents that one entry keeps sessions to; all, when they are few. */
export function selectAgentPeers(
	self: HostId,
	entries: readonly PeerHost[],
	agents: readonly PeerHost[],
	wanted: number,
): HostId[] {
	if (agents.length <= wanted || entries.length === 0) {
		return agents.map(({host}) => host);
	}

	const entriesPerAgent = Math.min(
		entries.length,
		Math.ceil((entries.length * wanted) / agents.length),
	);
	const mean = (entriesPerAgent * agents.length) / entries.length;
	const cap = Math.ceil(mean * capFactor);
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
			const chosen = chooseEntries(agent, hashed, entriesPerAgent, cap);
			for (const entry of chosen) {
				entry.load++;
			}

			return own !== undefined && chosen.includes(own);
		})
		.map(({host}) => host);
}

function chooseEntries(
	agent: {readonly hash: number; readonly dataCentre: DataCentreId},
	entries: readonly HashedEntry[],
	count: number,
	cap: number,
): HashedEntry[] {
	const localCount = Math.floor(count * localShare);
	const best: Scored[] = [];
	const local: Scored[] = [];
	for (const entry of entries) {
		if (entry.load < cap) {
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

type Scored = {readonly entry: HashedEntry; readonly score: number};

/** Keeps the `count` highest scores, the highest first. */
function addScored(best: Scored[], scored: Scored, count: number): void {
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
