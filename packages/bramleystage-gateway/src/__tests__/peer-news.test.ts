import {
	type Backend,
	toBackendId,
	toDataCentreId,
	toServiceName,
} from 'bramleystage';
import {expect, test} from 'vitest';
import {
	applyPeerUpdate,
	buildPeerUpdate,
	createPeerState,
	type GatewayState,
	peerUpdateSchema,
} from '../peer-update.js';

const createBackend = (id: string): Backend => ({
	id: toBackendId(id),
	service: toServiceName('desk'),
	address: '10.0.0.1:80',
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	models: [],
	slots: 6,
	bornAt: 0,
});

const toMap = (...backends: Backend[]) =>
	new Map(backends.map((backend) => [backend.id, backend]));

const [one, two, three] = [
	createBackend('1'),
	createBackend('2'),
	createBackend('3'),
];
const state: GatewayState = {
	version: 7,
	configurationReadAt: 4800,
	listReadAt: 4500,
	backends: toMap(one, two),
};

test('a follower has the list that was sent, also after changes', () => {
	const ping = {beatAt: 100, arrivedAt: 5000};
	const first = peerUpdateSchema.parse(
		buildPeerUpdate(state, {backends: new Map()}, ping, 5000),
	);
	const peer = applyPeerUpdate(createPeerState(), first);
	expect([...peer.backends.keys()]).toEqual(['1', '2']);
	expect(peer.version).toBe(7);
	const leaving = {...two, isDraining: true};
	const changed = {...state, backends: toMap(leaving, three)};
	const update = buildPeerUpdate(changed, state, ping, 5100);
	expect(update.changed).toEqual([leaving, three]);
	expect(update.removed).toEqual(['1']);
	const later = applyPeerUpdate(peer, update);
	expect(later.backends).toEqual(toMap(leaving, three));
});

test('the ages in an update count from the ping that it repeats', () => {
	const ping = {beatAt: 100, arrivedAt: 5000};
	const update = buildPeerUpdate(state, {backends: new Map()}, ping, 5020);
	const peer = applyPeerUpdate(createPeerState(), update);
	// However late the update arrives, it was written 20 ms after the ping at the earliest.
	expect(peer.aliveAt).toBe(120);
	expect(peer.configurationReadAt).toBe(120 - 220);
	expect(peer.listReadAt).toBe(120 - 520);
});

test('a gateway that never read the store reports that', () => {
	const ping = {beatAt: 100, arrivedAt: 5000};
	const blank = createPeerState();
	const update = peerUpdateSchema.parse(
		buildPeerUpdate(blank, {backends: new Map()}, ping, 5000),
	);
	const peer = applyPeerUpdate(blank, update);
	expect(peer.listReadAt).toBe(Number.NEGATIVE_INFINITY);
	expect(peer.version).toBe(-1);
	expect(peer.backAt).toBeUndefined();
});

test('a stopping gateway reports when it serves again', () => {
	const ping = {beatAt: 100, arrivedAt: 5000};
	const stopping = {...state, backAt: 9000};
	const update = peerUpdateSchema.parse(
		buildPeerUpdate(stopping, {backends: new Map()}, ping, 5000),
	);
	expect(applyPeerUpdate(createPeerState(), update).backAt).toBe(100 + 4000);
});

test('a follower learns the era of the store', () => {
	const ping = {beatAt: 100, arrivedAt: 5000};
	const restored = {...state, storeEra: 3};
	const update = peerUpdateSchema.parse(
		buildPeerUpdate(restored, {backends: new Map()}, ping, 5000),
	);
	expect(applyPeerUpdate(createPeerState(), update).storeEra).toBe(3);
});

test('the members of the group are sent once for each change', () => {
	const ping = {beatAt: 100, arrivedAt: 5000};
	const group = {fence: 5, members: ['10.0.0.1:1', '10.0.0.2:1']};
	const grouped = {...state, group};
	const first = buildPeerUpdate(grouped, {backends: new Map()}, ping, 5000);
	const peer = applyPeerUpdate(createPeerState(), first);
	expect(peer.group).toEqual(group);
	const second = buildPeerUpdate(grouped, grouped, ping, 5100);
	expect(second.group).toBeNull();
	expect(applyPeerUpdate(peer, second).group).toEqual(group);
});
