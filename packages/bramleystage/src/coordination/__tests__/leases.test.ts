import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toHostId, toIncarnation, toLogOffset} from '../../protocol/ids.js';
import {
	createLease,
	decideLease,
	findHeldToken,
	type LeaseCommand,
	type LeaseEvent,
	type LeaseState,
} from '../leases.js';

const ttlMs = 3000;

const createOptions = (index: number) => ({
	host: toHostId(`entry-${index}`),
	incarnation: toIncarnation(String(index)),
	ttlMs,
	marginMs: 500,
});

/** Processes that share one log in virtual time. */
class SimulatedCluster {
	now = 0;
	readonly log: unknown[] = [];
	/** Appends in flight, which take effect later or never. */
	readonly pending: unknown[] = [];
	readonly states: LeaseState[];
	readonly read: number[];
	#requests = 0;

	constructor(count: number) {
		this.states = Array.from({length: count}, () => createLease(0));
		this.read = this.states.map(() => 0);
	}

	tick(index: number): LeaseCommand[] {
		return this.#step(index, {
			type: 'tick',
			request: `request-${this.#requests++}`,
		});
	}

	readOne(index: number): LeaseCommand[] {
		const next = this.read[index] ?? 0;
		if (next >= this.log.length) {
			return [];
		}

		this.read[index] = next + 1;
		return this.#step(index, {
			type: 'record',
			offset: toLogOffset(next),
			value: this.log[next],
		});
	}

	commitNext(): void {
		if (this.pending.length > 0) {
			this.log.push(this.pending.shift());
		}
	}

	listHolders(): number[] {
		return this.states
			.map((state) => findHeldToken(state, this.now))
			.filter((number) => number !== undefined)
			.map(Number);
	}

	#step(index: number, event: LeaseEvent): LeaseCommand[] {
		const [next, commands] = decideLease(
			this.states[index] ?? createLease(0),
			event,
			createOptions(index),
			this.now,
		);
		this.states[index] = next;
		for (const command of commands) {
			if (command.type === 'append') {
				this.pending.push(command.record);
			}
		}

		return [...commands];
	}
}

test('two processes never hold the lease at once, even if appends are delayed or lost', () => {
	const action = fc.oneof(
		{
			weight: 4,
			arbitrary: fc.record({kind: fc.constant('tick'), index: fc.nat(2)}),
		},
		{
			weight: 4,
			arbitrary: fc.record({kind: fc.constant('read'), index: fc.nat(2)}),
		},
		{weight: 3, arbitrary: fc.constant({kind: 'land', index: 0})},
		{weight: 1, arbitrary: fc.constant({kind: 'drop', index: 0})},
		{
			weight: 3,
			arbitrary: fc.record({kind: fc.constant('wait'), index: fc.nat(4000)}),
		},
	);
	let holderCount = 0;
	fc.assert(
		fc.property(fc.array(action, {maxLength: 150}), (actions) => {
			const cluster = new SimulatedCluster(3);
			let highest = -1;
			for (const {kind, index} of actions) {
				switch (kind) {
					case 'tick': {
						cluster.tick(index);

						break;
					}

					case 'read': {
						cluster.readOne(index);

						break;
					}

					case 'land': {
						cluster.commitNext();

						break;
					}

					case 'drop': {
						cluster.pending.shift();

						break;
					}

					default: {
						cluster.now += index;
					}
				}

				const holders = cluster.listHolders();
				holderCount += holders.length;
				expect(holders.length).toBeLessThanOrEqual(1);
				for (const number of holders) {
					expect(number).toBeGreaterThanOrEqual(highest);
					highest = number;
				}
			}
		}),
		{seed: 12, numRuns: 2000},
	);
	expect(holderCount).toBeGreaterThan(0);
});

/** Creates a cluster whose process 0 holds the lease at time 3500. */
const createHeldCluster = () => {
	const cluster = new SimulatedCluster(2);
	cluster.now = 3500;
	cluster.tick(0);
	cluster.commitNext();
	cluster.readOne(0);
	return cluster;
};

test('a holder that was paused past its deadline no longer holds the lease', () => {
	const cluster = createHeldCluster();
	expect(cluster.listHolders()).toEqual([0]);
	cluster.now += ttlMs;
	expect(cluster.listHolders()).toEqual([]);
	expect(cluster.tick(0)).toContainEqual({type: 'lost', number: 0});
});

test('a claim whose answer was lost takes effect when it is read from the log', () => {
	const cluster = new SimulatedCluster(1);
	cluster.now = 3500;
	const [command] = cluster.tick(0);
	expect(command?.type).toBe('append');
	cluster.commitNext();
	cluster.now += 200;
	expect(cluster.readOne(0)).toEqual([{type: 'acquired', number: 0}]);
});

test('a claim that is read after its deadline grants no lease', () => {
	const cluster = new SimulatedCluster(1);
	cluster.now = 3500;
	cluster.tick(0);
	cluster.commitNext();
	cluster.now += ttlMs;
	expect(cluster.readOne(0)).toEqual([]);
	expect(cluster.listHolders()).toEqual([]);
});

test('renewals keep the fencing token, a later claim gets a higher one', () => {
	const cluster = createHeldCluster();
	cluster.now += 1000;
	cluster.tick(0);
	cluster.commitNext();
	cluster.readOne(0);
	cluster.now += 2500;
	expect(cluster.listHolders()).toEqual([0]);
	cluster.readOne(1);
	cluster.readOne(1);
	cluster.now += 3500;
	cluster.tick(1);
	cluster.commitNext();
	cluster.readOne(1);
	expect(cluster.listHolders()).toEqual([2]);
	expect(cluster.readOne(0)).toEqual([{type: 'lost', number: 0}]);
});
