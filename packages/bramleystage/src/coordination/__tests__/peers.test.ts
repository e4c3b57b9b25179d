import {expect, test} from 'vitest';
import {toDataCentreId, toHostId} from '../../protocol/ids.js';
import {type PeerHost, selectAgentPeers} from '../peers.js';

const dataCentres = 30;

const createHosts = (name: string, count: number): PeerHost[] =>
	Array.from({length: count}, (_, index) => ({
		host: toHostId(`${name}-${index}`),
		dataCentre: toDataCentreId(`centre-${index % dataCentres}`),
	}));

const countLoads = (subsets: readonly string[][]) => {
	const loads = new Map<string, number>();
	for (const host of subsets.flat()) {
		loads.set(host, (loads.get(host) ?? 0) + 1);
	}

	return [...loads.values()];
};

test('with 100 entries and 925 agents, no host exceeds the mean load by more than a tenth', () => {
	const entries = createHosts('entry', 100);
	const agents = createHosts('agent', 925);
	const subsets = entries.map(({host}) =>
		selectAgentPeers(host, entries, agents, 64),
	);
	const sizes = subsets.map(({length}) => length);
	const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
	expect(Math.max(...sizes) / mean).toBeLessThanOrEqual(1.1);
	const loads = countLoads(subsets);
	expect(loads).toHaveLength(925);
	expect(Math.max(...loads)).toBe(Math.min(...loads));
});

test('an agent that joins changes few peers of each entry', () => {
	const entries = createHosts('entry', 40);
	const agents = createHosts('agent', 370);
	const joined = [...agents, ...createHosts('new', 1)];
	let changed = 0;
	for (const {host} of entries) {
		const before = new Set(selectAgentPeers(host, entries, agents, 64));
		const after = selectAgentPeers(host, entries, joined, 64);
		changed += after.filter((agent) => !before.has(agent)).length;
	}

	expect(changed / (entries.length * 64)).toBeLessThan(0.05);
});

test('all agents are peers if there are few', () => {
	const entries = createHosts('entry', 3);
	const agents = createHosts('agent', 46);
	expect(
		selectAgentPeers(toHostId('entry-1'), entries, agents, 128),
	).toHaveLength(46);
});
