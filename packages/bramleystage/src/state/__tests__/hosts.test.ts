import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toDataCentreId, toHostId, toIncarnation} from '../../protocol/ids.js';
import {firstShare, listSessionAddresses} from '../host-membership.js';
import {
	applyHeartbeat,
	applyHostList,
	applySessionLost,
	createHosts,
	type HostsSnapshot,
	listAvailableHosts,
} from '../hosts.js';

const host = toHostId('engine-1');
const listed = {
	host,
	role: 'agent',
	dataCentre: toDataCentreId('izmir-a'),
	address: '127.0.0.1:1',
	state: 'live',
} as const;

const hear = (
	hosts: HostsSnapshot,
	life: number,
	now: number,
	leaving = false,
) =>
	applyHeartbeat(
		hosts,
		{
			host,
			address: `127.0.0.1:${life}`,
			dataCentre: listed.dataCentre,
			incarnation: toIncarnation(String(life)),
			now,
		},
		{leaving},
	);

const lose = (hosts: HostsSnapshot, life: number, now: number) =>
	applySessionLost(hosts, host, toIncarnation(String(life)), now);

const findShare = (hosts: HostsSnapshot) => hosts.connected.get(host)?.share;

test('no order of heartbeats and losses brings back a replaced or leaving life', () => {
	const event = fc.record({
		kind: fc.constantFrom('hear', 'hear', 'leave', 'lose'),
		life: fc.nat(3),
		after: fc.nat(20_000),
	});
	fc.assert(
		fc.property(fc.array(event, {maxLength: 60}), (events) => {
			let hosts = createHosts();
			let now = 0;
			let newest: number | undefined;
			const retired = new Set<number>();
			const left = new Set<number>();
			for (const {kind, life, after} of events) {
				now += after;
				hosts =
					kind === 'lose'
						? lose(hosts, life, now)
						: hear(hosts, life, now, kind === 'leave');
				if (kind !== 'lose' && !retired.has(life)) {
					if (newest !== undefined && newest !== life) {
						retired.add(newest);
					}

					newest = life;
					if (kind === 'leave') {
						left.add(life);
					}
				}

				const present = hosts.connected.get(host);
				expect(present?.incarnation ?? String(newest)).toBe(String(newest));
				for (const available of listAvailableHosts(hosts)) {
					const name = Number(available.incarnation);
					expect(left.has(name) || retired.has(name)).toBe(false);
					expect(available.share).toBeGreaterThanOrEqual(firstShare);
					expect(available.share).toBeLessThanOrEqual(1);
				}
			}
		}),
		{seed: 11, numRuns: 1000},
	);
});

test('a joining host takes its share slowly, a short break costs it nothing', () => {
	let hosts = hear(createHosts(), 1, 0);
	expect(findShare(hosts)).toBeCloseTo(0.1);
	hosts = hear(hosts, 1, 5000);
	expect(findShare(hosts)).toBeCloseTo(0.55);
	hosts = hear(hosts, 1, 10_000);
	expect(findShare(hosts)).toBe(1);
	hosts = hear(lose(hosts, 1, 20_000), 1, 22_000);
	expect(findShare(hosts)).toBe(1);
});

test('a host whose session breaks again and again begins anew', () => {
	let hosts = hear(createHosts(), 1, 0);
	hosts = hear(lose(hosts, 1, 20_000), 1, 21_000);
	expect(findShare(hosts)).toBe(1);
	hosts = hear(lose(hosts, 1, 25_000), 1, 26_000);
	expect(findShare(hosts)).toBeCloseTo(0.1);
});

test('a host that heals after a long partition begins anew', () => {
	const before = hear(hear(createHosts(), 1, 0), 1, 10_000);
	const healed = hear(lose(before, 1, 20_000), 1, 60_000);
	expect(findShare(healed)).toBeCloseTo(0.1);
});

test('a session to a host that the list dropped is kept while it lives', () => {
	const wanted = new Set<string>();
	const joined = hear(applyHostList(createHosts(), [listed]), 1, 0);
	expect(listSessionAddresses(joined, wanted).size).toBe(0);
	const dropped = applyHostList(joined, []);
	expect(listSessionAddresses(dropped, wanted)).toEqual(
		new Set(['127.0.0.1:1']),
	);
	expect(listAvailableHosts(dropped)).toHaveLength(1);
	expect(listSessionAddresses(lose(dropped, 1, 10), wanted).size).toBe(0);
});
