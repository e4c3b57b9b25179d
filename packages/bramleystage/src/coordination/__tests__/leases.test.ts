import fc from 'fast-check';
import {expect, test} from 'vitest';
import {toHostId, toIncarnation, toLogOffset} from '../../protocol/ids.js';
import {
	createLease,
	decideLease,
	findHeldNumber,
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

/** Processes that share one log under virtual time. */
class Site {
	now = 0;
	readonly log: unknown[] = [];
	/** Appends that are under way and take effect later or never. */
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

	land(): void {
		if (this.pending.length > 0) {
			this.log.push(this.pending.shift());
		}
	}

	listHolders(): number[] {
		return this.states
			.map((state) => findHeldNumber(state, this.now))
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

test('two processes never hold the lease at once, whatever is late or lost', () => {
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
	let holdings = 0;
	fc.assert(
		fc.property(fc.array(action, {maxLength: 150}), (actions) => {
			const site = new Site(3);
			let highest = -1;
			for (const {kind, index} of actions) {
				switch (kind) {
					case 'tick': {
						site.tick(index);

						break;
					}

					case 'read': {
						site.readOne(index);

						break;
					}

					case 'land': {
						site.land();

						break;
					}

					case 'drop': {
						site.pending.shift();

						break;
					}

					default: {
						site.now += index;
					}
				}

				const holders = site.listHolders();
				holdings += holders.length;
				expect(holders.length).toBeLessThanOrEqual(1);
				for (const number of holders) {
					expect(number).toBeGreaterThanOrEqual(highest);
					highest = number;
				}
			}
		}),
		{seed: 12, numRuns: 2000},
	);
	expect(holdings).toBeGreaterThan(0);
});

/** Gives a site whose process 0 holds the lease at time 3500. */
const holdFirst = () => {
	const site = new Site(2);
	site.now = 3500;
	site.tick(0);
	site.land();
	site.readOne(0);
	return site;
};

test('a holder that pauses and wakes no longer holds what it believes to hold', () => {
	const site = holdFirst();
	expect(site.listHolders()).toEqual([0]);
	site.now += ttlMs;
	expect(site.listHolders()).toEqual([]);
	expect(site.tick(0)).toContainEqual({type: 'lost', number: 0});
});

test('a claim whose answer was lost is found in the log', () => {
	const site = new Site(1);
	site.now = 3500;
	const [command] = site.tick(0);
	expect(command?.type).toBe('append');
	site.land();
	site.now += 200;
	expect(site.readOne(0)).toEqual([{type: 'acquired', number: 0}]);
});

test('a claim that is read after its deadline gives no lease', () => {
	const site = new Site(1);
	site.now = 3500;
	site.tick(0);
	site.land();
	site.now += ttlMs;
	expect(site.readOne(0)).toEqual([]);
	expect(site.listHolders()).toEqual([]);
});

test('renewals keep the number, a later claim gets a higher one', () => {
	const site = holdFirst();
	site.now += 1000;
	site.tick(0);
	site.land();
	site.readOne(0);
	site.now += 2500;
	expect(site.listHolders()).toEqual([0]);
	site.readOne(1);
	site.readOne(1);
	site.now += 3500;
	site.tick(1);
	site.land();
	site.readOne(1);
	expect(site.listHolders()).toEqual([2]);
	expect(site.readOne(0)).toEqual([{type: 'lost', number: 0}]);
});
