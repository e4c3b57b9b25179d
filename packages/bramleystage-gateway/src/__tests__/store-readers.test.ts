/**
 * Load pattern: a fleet of gateways before one store, which turns away a part of
 * them, or all. The gateways run in memory and count their calls to the store.
 */
import {expect, test} from 'vitest';
import {
	computeOwnReadAgeMs,
	isStalePeer,
	type PeerRecord,
	selectFollowedPeers,
} from '../peer-selection.js';
import {StoreContact} from '../store-contact.js';

const tickMs = 50;
const readIntervalMs = 600;
const retryDelayMs = 250;
const selectIntervalMs = 200;
const pingIntervalMs = 300;
const freshMs = 1200;

type FollowedPeer = {followedAt: number; listReadAt: number; reader: string};

type Gateway = {
	readonly address: string;
	readonly contact: StoreContact;
	readonly records: Map<string, PeerRecord>;
	/** Followed gateways, with what they sent last. */
	readonly followed: Map<string, FollowedPeer>;
	listReadAt: number;
	/** Gateway that read the list. */
	reader: string;
	nextReadAt: number;
};

/** Plays a fleet; returns the calls to the store, the highest age of a list, and how many calls were refused. */
function runFleet(options: {
	readonly count: number;
	readonly isRefused: (index: number, now: number) => boolean;
	readonly from: number;
	readonly until: number;
}) {
	const addresses = Array.from(
		{length: options.count},
		(_, index) => `10.0.0.${String(index).padStart(3, '0')}:1`,
	);
	const gateways = addresses.map((address): Gateway => ({
		address,
		contact: new StoreContact(),
		records: new Map(),
		followed: new Map(),
		listReadAt: 0,
		reader: address,
		nextReadAt: 0,
	}));
	const byAddress = new Map(gateways.map((item) => [item.address, item]));
	let calls = 0;
	let refused = 0;
	let maxAgeMs = 0;
	for (let now = 0; now < options.until; now += tickMs) {
		for (const [index, gateway] of gateways.entries()) {
			if (now % selectIntervalMs === 0) {
				selectPeers(gateway, addresses, now);
			}

			if (now % pingIntervalMs === 0) {
				applyUpdates(gateway, byAddress);
			}

			const isLost = gateway.contact.isLost(now);
			const isInformed = [...gateway.followed].some(
				([address, {listReadAt, reader}]) =>
					now - listReadAt < freshMs &&
					reader !== gateway.address &&
					(isLost || address < gateway.address),
			);
			const ageMs = now - gateway.listReadAt;
			if (
				now < gateway.nextReadAt ||
				ageMs < computeOwnReadAgeMs(isInformed, index)
			) {
				continue;
			}

			const isCounted = now >= options.from;
			calls += isCounted ? 1 : 0;
			if (options.isRefused(index, now)) {
				refused += isCounted ? 1 : 0;
				gateway.contact.recordFailure(now);
				gateway.nextReadAt =
					now + gateway.contact.computeRetryDelayMs(retryDelayMs);
			} else {
				gateway.contact.recordSuccess();
				gateway.listReadAt = now;
				gateway.reader = gateway.address;
				gateway.nextReadAt = now + readIntervalMs;
			}
		}

		if (now >= options.from) {
			const oldest = Math.min(...gateways.map((item) => item.listReadAt));
			maxAgeMs = Math.max(maxAgeMs, now - oldest);
		}
	}

	const seconds = (options.until - options.from) / 1000;
	return {callsPerSecond: calls / seconds, maxAgeMs, refused};
}

function selectPeers(
	gateway: Gateway,
	addresses: readonly string[],
	now: number,
) {
	const {records, followed} = gateway;
	for (const [address, peer] of followed) {
		if (isStalePeer(peer, now)) {
			records.set(address, {staleAt: now});
		}
	}

	const others = addresses.filter((address) => address !== gateway.address);
	const wanted = selectFollowedPeers(others, records, now);
	for (const address of followed.keys()) {
		if (!wanted.includes(address)) {
			followed.delete(address);
		}
	}

	for (const address of wanted) {
		if (!followed.has(address)) {
			followed.set(address, {
				followedAt: now,
				listReadAt: Number.NEGATIVE_INFINITY,
				reader: address,
			});
		}
	}
}

function applyUpdates(
	gateway: Gateway,
	byAddress: ReadonlyMap<string, Gateway>,
) {
	for (const [address, peer] of gateway.followed) {
		const sender = byAddress.get(address);
		if (sender) {
			peer.listReadAt = sender.listReadAt;
			peer.reader = sender.reader;
		}

		if (peer.listReadAt > gateway.listReadAt) {
			gateway.listReadAt = peer.listReadAt;
			gateway.reader = peer.reader;
		}
	}
}

const steady = {from: 5000, until: 25_000};

test('68 gateways together read the store hardly more often than one', () => {
	const {callsPerSecond, maxAgeMs} = runFleet({
		...steady,
		count: 68,
		isRefused: () => false,
	});
	expect(callsPerSecond).toBeLessThan(2 * (1000 / readIntervalMs));
	expect(maxAgeMs).toBeLessThan(1800);
});

test('a third of the gateways, with the two readers among them, loses the store', () => {
	const {callsPerSecond, maxAgeMs} = runFleet({
		...steady,
		count: 68,
		isRefused: (index, now) => now > 5000 && index % 3 !== 2,
	});
	// Far from the 113 calls a second of 68 gateways that read for themselves.
	expect(callsPerSecond).toBeLessThan(25);
	expect(maxAgeMs).toBeLessThan(2500);
});

test('nobody reaches the store for eight seconds, and then all are informed again', () => {
	const isRefused = (_: number, now: number) => now > 5000 && now < 13_000;
	const down = runFleet({count: 68, from: 5000, until: 13_000, isRefused});
	expect(down.callsPerSecond).toBeLessThan(68);
	const back = runFleet({count: 68, from: 15_000, until: 25_000, isRefused});
	expect(back.maxAgeMs).toBeLessThan(2500);
	expect(back.callsPerSecond).toBeLessThan(25);
});

test('the rule is the same for three and for 400 gateways', () => {
	for (const count of [3, 400]) {
		const {callsPerSecond, maxAgeMs} = runFleet({
			...steady,
			count,
			isRefused: (index, now) => now > 5000 && index === 0,
		});
		expect(callsPerSecond).toBeLessThan(25);
		expect(maxAgeMs).toBeLessThan(2500);
	}
});
