/** Which evidence shows that an instance has ended when connections to it break. */
import {
	type Backend,
	createBackends,
	LifeCycle,
	toBackendId,
	toDataCentreId,
	toServiceName,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import type {ConnectionState} from '../connection-check.js';
import {CutCheck, type InstanceCut} from '../cut-check.js';

const id = toBackendId('server');
const address = '127.0.0.1:1';
const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const listed: Backend = {
	id,
	service: toServiceName('desk'),
	address,
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	models: [],
	slots: 6,
	bornAt: 1,
};

let lifeCycle: LifeCycle;
let state: ConnectionState;
let snapshots: BehaviorSubject<ReturnType<typeof createBackends>>;
let ends: Array<InstanceCut<string>>;
let check: CutCheck<string>;

const list = (...backends: readonly Backend[]) => {
	snapshots.next({
		...createBackends(),
		backends: new Map(backends.map((item) => [item.id, item])),
	});
};

const readClock = () => performance.now();
const cutRun = async (run: string, sentAt = readClock() - 100) =>
	check.recordCut({id, address, sentAt}, run);
const passTime = async (ms: number) => vi.advanceTimersByTimeAsync(ms);

beforeEach(() => {
	vi.useFakeTimers();
	lifeCycle = new LifeCycle();
	state = 'open';
	ends = [];
	snapshots = new BehaviorSubject(createBackends());
	list(listed);
	check = new CutCheck<string>(
		{
			fleet: {snapshots},
			instances: {recordRefusal: () => undefined},
			checkConnection: async () => state,
			lifeCycle,
			logger,
			readClock,
			readLinkDelayMs: () => 0,
		},
		(cut) => {
			ends.push(cut);
		},
	);
});

afterEach(async () => {
	await lifeCycle.stop();
	vi.useRealTimers();
});

// Guards against an end that is missed because the address doesn't refuse connections.
test.each<ConnectionState>(['closed', 'silent'])(
	'a server that is %s has ended once its entry goes',
	async (found) => {
		state = found;
		const result = cutRun('a');
		await passTime(1000);
		expect(await result).toBe(true);
		expect(ends).toEqual([]);
		list();
		await passTime(500);
		expect(ends).toMatchObject([{instance: 'server@1', runs: ['a']}]);
	},
);

// Guards against suspects of servers that are overloaded or cut off.
test.each<ConnectionState>(['closed', 'silent', 'open'])(
	'a server that is %s and stays in the list has not ended',
	async (found) => {
		state = found;
		void cutRun('a');
		await passTime(10_000);
		expect(ends).toEqual([]);
	},
);

test('a refused connection is evidence enough', async () => {
	state = 'refused';
	expect(await cutRun('a')).toBe(true);
	await passTime(10);
	expect(ends).toHaveLength(1);
});

// Guards against an end that is missed because the server is back before it is asked.
test.each<[string, Backend]>([
	['under its id', {...listed, bornAt: 2}],
	['under another id', {...listed, id: toBackendId('other')}],
])(
	'another instance in its place %s shows the end',
	async (_name, successor) => {
		void cutRun('a');
		await passTime(1000);
		list(successor);
		await passTime(500);
		expect(ends).toMatchObject([{instance: 'server@1'}]);
	},
);

// Guards against an end that is missed because the list shows it before the connections break.
test('an entry that went shortly before the connections broke is no bar', async () => {
	const sentAt = readClock();
	await passTime(100);
	list();
	state = 'refused';
	void cutRun('a', sentAt);
	await passTime(500);
	expect(ends).toMatchObject([{instance: 'server@1'}]);
});

test('a server that leaves ends when it likes, and is suspect only if it breaks off at once', async () => {
	state = 'refused';
	const sentAt = readClock();
	list({...listed, isDraining: true});
	await passTime(2500);
	expect(await cutRun('late', sentAt)).toBe(false);
	await passTime(7000);
	expect(ends).toEqual([]);
});

test('a server that leaves without notice and still serves has not ended', async () => {
	void cutRun('a');
	await passTime(500);
	list();
	await passTime(7000);
	expect(ends).toEqual([]);
});

test('connections that break later belong to an end of their own', async () => {
	void cutRun('early');
	await passTime(3000);
	state = 'refused';
	void cutRun('late');
	void cutRun('late too');
	await passTime(300);
	expect(ends.at(-1)?.runs).toEqual(['late', 'late too']);
});
