/** Which peer is queried, beside peers that are silent and one that announced a version. */
import {expect, test} from 'vitest';
import {QueryChoice} from '../query-choice.js';

const peers = Array.from({length: 5}, (_, index) => `10.0.0.${index}:1`);

test('each peer is queried once before any is again', () => {
	const choice = new QueryChoice(() => 0.5);
	const chosen = peers.map(() => choice.choosePeer(peers, undefined, 0));
	expect(chosen[0]).toBe(peers[2]);
	expect(new Set(chosen).size).toBe(peers.length);
	expect(choice.choosePeer([], undefined, 0)).toBeUndefined();
});

// Guards against queries that wait for dead peers while another one has the version.
test('silent peers are left out until they had time to come back', () => {
	const choice = new QueryChoice(() => 0);
	for (const address of peers.slice(1)) {
		choice.recordSilence(address, 0);
	}

	expect(choice.choosePeer(peers, undefined, 10)).toBe(peers[0]);
	expect(choice.choosePeer(peers, undefined, 20)).toBe(peers[0]);
	choice.recordSilence(peers[0]!, 1000);
	expect(peers).toContain(choice.choosePeer(peers, undefined, 1500));
	expect(choice.choosePeer(peers, undefined, 2500)).not.toBe(peers[0]);
});

// Guards against a version that is known at a peer and searched for elsewhere, and against a crowd at that peer.
test.each([
	{gateways: 5, most: 5},
	{gateways: 400, most: 20},
])(
	'a few of $gateways gateways query the peer that announced a version',
	({gateways, most}) => {
		const others = Array.from({length: gateways}, (_, index) => `a${index}:1`);
		let seed = 1;
		const draw = () => {
			seed = (seed * 16_807) % 2_147_483_647;
			return seed / 2_147_483_647;
		};

		const choices = others.map(() => new QueryChoice(draw));
		const count = choices.filter(
			(choice) => choice.choosePeer(others, 'a0:1', 0) === 'a0:1',
		).length;
		expect(count).toBeGreaterThan(0);
		expect(count).toBeLessThanOrEqual(most);
	},
);
