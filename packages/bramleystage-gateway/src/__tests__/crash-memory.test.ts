/** What gateways save of requests that end servers, and what a later one knows of it. */
import {LifeCycle, toInstanceKey, toRequestTrait} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {CrashLedger} from '../crash-ledger.js';
import {startCrashMemory} from '../crash-memory.js';
import type {StoreFailure} from '../platform-port.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const guilty = toRequestTrait('desk content exact 1');
const traits = {shared: [], forms: [guilty], own: guilty};
const startedAt = 1_800_000_000_000;

let lifeCycle: LifeCycle;
let saved: string | undefined;
let saves: number;
let isAway: boolean;
let isSlow: boolean;
let era: number;

const fail = err<never, StoreFailure>({kind: 'lost', detail: 'away'});
const store = {
	async loadRecord(): Promise<Result<string | undefined, StoreFailure>> {
		if (isSlow) {
			await new Promise(() => {
				// Never answers.
			});
		}

		return isAway ? fail : ok(saved);
	},
	async saveRecord(text: string): Promise<Result<void, StoreFailure>> {
		if (isAway) {
			return fail;
		}

		saved = text;
		saves++;
		return ok(undefined);
	},
};

/** Starts a gateway's part of it; its steady clock begins anew. */
function startGateway(isWriter = true) {
	const beganAt = Date.now();
	const readClock = () => Date.now() - beganAt;
	const ledger = new CrashLedger({
		isGroupKnown: () => true,
		listMembers: () => [],
		self: 'a',
		lifeCycle,
		logger,
		readClock,
	});
	const memory = startCrashMemory({
		store,
		ledger,
		isWriter: () => isWriter,
		readEra: () => era,
		lifeCycle,
		logger,
		readClock,
		readWallClock: Date.now,
	});
	const recordEnds = (count: number) => {
		for (let index = 0; index < count; index++) {
			const endedAt = readClock() - 1000 + 200 * index;
			ledger.recordCrash({
				instance: toInstanceKey(`server-${index}@1`),
				endedAt,
				citedAt: endedAt,
				isBegun: false,
				suspects: new Map([
					[guilty, {witnesses: ['one'], sentAt: endedAt - 100, form: 0}],
				]),
			});
		}
	};

	return {ledger, memory, recordEnds, readClock};
}

const passTime = async (ms: number) => vi.advanceTimersByTimeAsync(ms);

beforeEach(() => {
	vi.useFakeTimers({now: startedAt});
	lifeCycle = new LifeCycle();
	saved = undefined;
	saves = 0;
	isAway = false;
	isSlow = false;
	era = 1;
});

afterEach(async () => {
	await lifeCycle.stop();
	vi.useRealTimers();
});

test('a gateway that starts when none is left knows what ended servers, and how long ago', async () => {
	const first = startGateway();
	await passTime(2000);
	first.recordEnds(3);
	await passTime(3000);
	expect(saves).toBe(1);
	await lifeCycle.stop();
	lifeCycle = new LifeCycle();
	await passTime(60_000);
	const second = startGateway();
	expect(second.memory.isRead()).toBe(false);
	await passTime(10);
	expect(second.memory.isRead()).toBe(true);
	const blame = second.ledger.findBlame(traits);
	expect(blame?.crashes).toHaveLength(3);
	const agoMs = second.readClock() - (blame?.lastAt ?? 0);
	expect(agoMs).toBeGreaterThan(60_000);
	expect(agoMs).toBeLessThan(66_000);
});

// Guards against a request that stays refused after all gateways started again, though it had been answered soundly.
test('what a sound answer has cleared is saved as well', async () => {
	const {ledger, recordEnds, readClock} = startGateway();
	await passTime(2000);
	recordEnds(3);
	await passTime(3000);
	ledger.recordSound(traits, readClock());
	await passTime(3000);
	expect(saves).toBe(2);
	const later = startGateway();
	await passTime(10);
	expect(later.ledger.findBlame(traits)).toBeUndefined();
});

// Guards against a store that is written to with each end of a server, or by each gateway.
test('one end, or one that others save, writes nothing', async () => {
	const alone = startGateway();
	const other = startGateway(false);
	await passTime(2000);
	alone.recordEnds(1);
	other.recordEnds(3);
	await passTime(10_000);
	expect(saves).toBe(0);
});

// Guards against a record that is overwritten by a gateway that could not read it.
test('while the store is away nothing is written, and later what was there is kept', async () => {
	const first = startGateway();
	await passTime(2000);
	first.recordEnds(3);
	await passTime(3000);
	const before = saved;
	isAway = true;
	const second = startGateway();
	await passTime(1500);
	expect(second.memory.isRead()).toBe(true);
	await passTime(5000);
	expect(saved).toBe(before);
	isAway = false;
	await passTime(3000);
	expect(second.ledger.findBlame(traits)).toBeDefined();
});

test('a store that came back from an older copy gets the record again', async () => {
	const {recordEnds} = startGateway();
	await passTime(2000);
	recordEnds(3);
	await passTime(3000);
	saved = undefined;
	era = 2;
	await passTime(3000);
	expect(saved).toBeDefined();
	expect(saves).toBe(2);
});

test('a record that can not be read is no bar', async () => {
	saved = '{"writtenAt":"x"}';
	const {memory, ledger} = startGateway();
	await passTime(10);
	expect(memory.isRead()).toBe(true);
	expect(ledger.hasCrashes).toBe(false);
});

// Guards against a gateway that serves nobody while the store answers slowly.
test('a slow store keeps a gateway that starts from serving for a second at most', async () => {
	isSlow = true;
	const {memory} = startGateway();
	await passTime(900);
	expect(memory.isRead()).toBe(false);
	await passTime(200);
	expect(memory.isRead()).toBe(true);
});
