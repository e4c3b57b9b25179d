import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toDataCentreId, toHostId, toIncarnation} from '../../protocol/ids.js';
import {slowStartShare, listSessionAddresses} from '../host-membership.js';
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

const receiveHeartbeat = (
	hosts: HostsSnapshot,
	incarnation: number,
	now: number,
	leaving = false,
) =>
	applyHeartbeat(
		hosts,
		{
			host,
			address: `127.0.0.1:${incarnation}`,
			dataCentre: listed.dataCentre,
			incarnation: toIncarnation(String(incarnation)),
			now,
		},
		{leaving},
	);

const loseSession = (hosts: HostsSnapshot, incarnation: number, now: number) =>
	applySessionLost(hosts, host, toIncarnation(String(incarnation)), now);

const findShare = (hosts: HostsSnapshot) => hosts.connected.get(host)?.share;

test('no sequence of heartbeats and session losses makes a replaced or leaving incarnation available', () => {
	const event = fc.record({
		kind: fc.constantFrom('hear', 'hear', 'leave', 'lose'),
		incarnation: fc.nat(3),
		after: fc.nat(20_000),
	});
	fc.assert(
		fc.property(fc.array(event, {maxLength: 60}), (events) => {
			let hosts = createHosts();
			let now = 0;
			let newest: number | undefined;
			const retired = new Set<number>();
			const left = new Set<number>();
			for (const {kind, incarnation, after} of events) {
				now += after;
				hosts =
					kind === 'lose'
						? loseSession(hosts, incarnation, now)
						: receiveHeartbeat(hosts, incarnation, now, kind === 'leave');
				if (kind !== 'lose' && !retired.has(incarnation)) {
					if (newest !== undefined && newest !== incarnation) {
						retired.add(newest);
					}

					newest = incarnation;
					if (kind === 'leave') {
						left.add(incarnation);
					}
				}

				const present = hosts.connected.get(host);
				expect(present?.incarnation ?? String(newest)).toBe(String(newest));
				for (const available of listAvailableHosts(hosts)) {
					const name = Number(available.incarnation);
					expect(left.has(name) || retired.has(name)).toBe(false);
					expect(available.share).toBeGreaterThanOrEqual(slowStartShare);
					expect(available.share).toBeLessThanOrEqual(1);
				}
			}
		}),
		{seed: 11, numRuns: 1000},
	);
});

test('a joining host starts slowly, and a short break keeps its share', () => {
	let hosts = receiveHeartbeat(createHosts(), 1, 0);
	expect(findShare(hosts)).toBeCloseTo(0.1);
	hosts = receiveHeartbeat(hosts, 1, 5000);
	expect(findShare(hosts)).toBeCloseTo(0.55);
	hosts = receiveHeartbeat(hosts, 1, 10_000);
	expect(findShare(hosts)).toBe(1);
	hosts = receiveHeartbeat(loseSession(hosts, 1, 20_000), 1, 22_000);
	expect(findShare(hosts)).toBe(1);
});

test('a host whose session breaks repeatedly starts slowly again', () => {
	let hosts = receiveHeartbeat(createHosts(), 1, 0);
	hosts = receiveHeartbeat(loseSession(hosts, 1, 20_000), 1, 21_000);
	expect(findShare(hosts)).toBe(1);
	hosts = receiveHeartbeat(loseSession(hosts, 1, 25_000), 1, 26_000);
	expect(findShare(hosts)).toBeCloseTo(0.1);
});

test('a host that returns after a long partition starts slowly again', () => {
	const before = receiveHeartbeat(
		receiveHeartbeat(createHosts(), 1, 0),
		1,
		10_000,
	);
	const healed = receiveHeartbeat(loseSession(before, 1, 20_000), 1, 60_000);
	expect(findShare(healed)).toBeCloseTo(0.1);
});

test('a live session to a host that the list no longer has is kept', () => {
	const wanted = new Set<string>();
	const joined = receiveHeartbeat(applyHostList(createHosts(), [listed]), 1, 0);
	expect(listSessionAddresses(joined, wanted).size).toBe(0);
	const dropped = applyHostList(joined, []);
	expect(listSessionAddresses(dropped, wanted)).toEqual(
		new Set(['127.0.0.1:1']),
	);
	expect(listAvailableHosts(dropped)).toHaveLength(1);
	expect(listSessionAddresses(loseSession(dropped, 1, 10), wanted).size).toBe(
		0,
	);
});
