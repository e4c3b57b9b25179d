/** Gateways that the store does not list, although they run, or that run no more. */
import {LifeCycle} from 'bramleystage';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {KnownMembers, type MemberAnswer} from '../known-members.js';
import {buildPeerUpdate, peerUpdateSchema, pingSchema} from '../peer-update.js';
import {silentLogger} from './slow-peer.js';

const self = '10.0.0.3:1';
const first = '10.0.0.1:1';
const second = '10.0.0.2:1';
const answers = new Map<string, MemberAnswer>();
let lifeCycle: LifeCycle;
let known: KnownMembers;
let checks: string[];
const readClock = () => performance.now();

beforeEach(() => {
	vi.useFakeTimers();
	lifeCycle = new LifeCycle();
	checks = [];
	answers.clear();
	known = new KnownMembers({
		self,
		seeds: [],
		async checkMember(address) {
			checks.push(address);
			return answers.get(address) ?? 'none';
		},
		logger: silentLogger,
		readClock,
	});
	known.registerChecks(lifeCycle);
});

afterEach(async () => {
	vi.useRealTimers();
	await lifeCycle.stop();
});

// Guards against gateways that forget peers because the store does not list them as members.
test('a gateway that is no longer listed stays known while it answers', async () => {
	known.recordListed([first, second, self], readClock());
	answers.set(first, 'serves');
	await vi.advanceTimersByTimeAsync(2000);
	known.recordListed([second, self], readClock());
	await vi.advanceTimersByTimeAsync(60_000);
	expect(known.listPeers()).toEqual([first, second]);
	expect(known.confirmed.value).toEqual([first, second]);
});

test.each<{answer: MemberAnswer; withinMs: number}>([
	{answer: 'none', withinMs: 1100},
	{answer: 'stopping', withinMs: 600},
])(
	'a gateway that is no longer listed and answers $answer is forgotten',
	async ({answer, withinMs}) => {
		known.recordListed([first, self], readClock());
		answers.set(first, answer);
		await vi.advanceTimersByTimeAsync(5000);
		expect(checks).toEqual([]);
		known.recordListed([self], readClock());
		expect(known.listPeers()).toEqual([first]);
		await vi.advanceTimersByTimeAsync(withinMs);
		expect(known.listPeers()).toEqual([]);
	},
);

test('many gateways that end at once are forgotten within seconds', async () => {
	const others = Array.from({length: 200}, (_, index) => `10.0.1.${index}:1`);
	known.recordListed([...others, self], readClock());
	await vi.advanceTimersByTimeAsync(9000);
	known.recordListed([self], readClock());
	await vi.advanceTimersByTimeAsync(14_000);
	expect(known.listPeers()).toEqual([]);
	expect(checks).toHaveLength(2 * others.length);
});

test('a gateway that others tell of counts only once it has answered', async () => {
	known.recordTold([first, second, self], readClock());
	answers.set(first, 'serves');
	expect(known.listPeers()).toEqual([first, second]);
	expect(known.confirmed.value).toEqual([]);
	await vi.advanceTimersByTimeAsync(1100);
	expect(known.listPeers()).toEqual([first]);
	expect(known.confirmed.value).toEqual([first]);
	// One that was found dead does not come back by what others still believe.
	known.recordTold([second], readClock());
	expect(known.listPeers()).toEqual([first]);
	known.recordContact(second, readClock());
	expect(known.listPeers()).toEqual([first, second]);
});

test('gateways that are not listed but answer are checked rarely', async () => {
	const others = Array.from({length: 352}, (_, index) => `10.0.1.${index}:1`);
	for (const address of others) {
		answers.set(address, 'serves');
	}

	known.recordTold(others, readClock());
	await vi.advanceTimersByTimeAsync(60_000);
	checks = [];
	await vi.advanceTimersByTimeAsync(100_000);
	expect(known.confirmed.value).toHaveLength(others.length);
	expect(checks.length / 100).toBeLessThan(5);
});

// Guards against an address that ends the process when a connection to it is opened.
test.each(['', 'host', ':80', 'host:', 'host:0', 'host:65536', 'host:1.5'])(
	'a ping, members or known gateways with the address %j are refused',
	(address) => {
		const update = buildPeerUpdate(
			{
				version: 1,
				configurationReadAt: 0,
				listReadAt: 0,
				backends: new Map(),
				group: {fence: 1, members: [first]},
				known: [first],
			},
			{backends: new Map()},
			{beatAt: 0, arrivedAt: 0},
			0,
		);
		const group = {fence: 1, members: [address]};
		expect(pingSchema.safeParse({beatAt: 1, sender: first}).success).toBe(true);
		expect(peerUpdateSchema.safeParse(update).success).toBe(true);
		for (const result of [
			pingSchema.safeParse({beatAt: 1, sender: address}),
			peerUpdateSchema.safeParse({...update, known: [address]}),
			peerUpdateSchema.safeParse({...update, group}),
		]) {
			expect(result.success).toBe(false);
		}
	},
);
