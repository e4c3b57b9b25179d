import type {ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {
	createFailure,
	type Failure,
	toRequestId,
	toRouteName,
	toServiceName,
} from 'bramleystage';
import {beforeEach, expect, test} from 'vitest';
import type {Call} from '../call.js';
import {CallAdmission} from '../call-admission.js';
import {CallerConnection} from '../caller-connection.js';
import type {OverloadState} from '../overload-state.js';

let now: number;
let unreadMs: number;
let turns: Array<() => void>;
let timers: Array<() => void>;
let begun: string[];
let refused: Array<{id: string; result: Failure['result']}>;
let states: OverloadState[];
let beginMs: number;
let shed: Set<string>;
let admission: CallAdmission;

beforeEach(() => {
	now = 1000;
	unreadMs = 0;
	turns = [];
	timers = [];
	begun = [];
	refused = [];
	states = [];
	beginMs = 1;
	shed = new Set();
	admission = new CallAdmission({
		readClock: () => now,
		measureUnreadMs: () => unreadMs,
		waitForTurn(callback) {
			turns.push(callback);
		},
		waitForTime(callback) {
			timers.push(callback);
		},
		beginCall({metadata}) {
			begun.push(metadata.request);
			now += beginMs;
		},
		findShortage: ({metadata}) =>
			shed.has(metadata.request)
				? createFailure('overloaded', 'The fleet is short.')
				: undefined,
		refuseCall({metadata}, {result}) {
			refused.push({id: metadata.request, result});
		},
		recordOverload(state) {
			states.push(state);
		},
		buildOverloadFailure: () => createFailure('overloaded', 'Too many.'),
	});
});

/** Ends the present turn of the event loop, which took some milliseconds. */
function advanceTurn(ms = 1): void {
	now += ms;
	for (const turn of turns.splice(0)) {
		turn();
	}
}

function openCaller(): {caller: CallerConnection; socket: Socket} {
	const socket = new Socket();
	const acceptance = admission.arrivals.recordConnection(now);
	return {caller: new CallerConnection(socket, acceptance), socket};
}

const buildCall = (id: string, caller: CallerConnection): Call => ({
	metadata: {
		request: toRequestId(id),
		promptTokens: 0,
		maxAnswerTokens: 0,
		promptParts: [],
	},
	route: {
		name: toRouteName('r'),
		host: 'test',
		pathPrefix: '/',
		kind: 'idempotent',
		timeoutMs: 5000,
		latencyTargetMs: 500,
		eventGapTargetMs: 250,
		priority: 5,
		targets: [],
		maxAttempts: 1,
		isPublic: true,
		isResumable: false,
	},
	service: {name: toServiceName('desk'), maxConnections: 100},
	method: 'POST',
	target: '/',
	headers: [],
	body: Buffer.alloc(0),
	response: {} as unknown as ServerResponse,
	caller,
	arrivedAt: now,
	unreadMs: 0,
	deadlineAt: now + 5000,
	version: 1,
});

// Guards against a call that begins before the end of its connection, which lies behind it,
// can be read.
test('a call begins only after the loop has looked for input once more', () => {
	const {caller} = openCaller();
	admission.add(buildCall('one', caller), now);
	advanceTurn();
	expect(begun).toEqual([]);
	advanceTurn();
	expect(begun).toEqual(['one']);
	advanceTurn();
	expect(turns).toEqual([]);
});

test('a call whose caller leaves before it begins does not begin', () => {
	const first = openCaller();
	admission.add(buildCall('one', first.caller), now);
	const second = openCaller();
	admission.add(buildCall('two', second.caller), now);
	first.socket.emit('end');
	advanceTurn();
	second.socket.emit('end');
	advanceTurn();
	expect(begun).toEqual([]);
	expect(refused).toEqual([
		{id: 'one', result: 'callerLeft'},
		{id: 'two', result: 'callerLeft'},
	]);
});

// Guards against a call that waits, or even runs, although the fleet has no room for it.
test('a call that is shed is refused at once and never begins', () => {
	const {caller} = openCaller();
	shed.add('shed');
	admission.add(buildCall('shed', caller), now);
	admission.add(buildCall('other', caller), now);
	advanceTurn();
	expect(refused).toEqual([{id: 'shed', result: 'overloaded'}]);
	advanceTurn();
	advanceTurn();
	expect(begun).toEqual(['other']);
	expect(refused).toHaveLength(1);
});

// Guards against a process that spins while calls wait for running ones to end.
test('calls that wait for running ones are looked at now and then', () => {
	const {caller} = openCaller();
	const first = buildCall('first', caller);
	const runningCount = 30;
	for (let count = 0; count < runningCount; count++) {
		admission.add(buildCall(`running-${count}`, caller), now);
	}

	for (let turn = 0; turn < 10; turn++) {
		advanceTurn();
	}

	expect(begun).toHaveLength(runningCount);
	for (let count = 0; count < 20; count++) {
		admission.recordDelay(first, 3000, now);
	}

	admission.add(buildCall('waiting', caller), now);
	advanceTurn();
	advanceTurn();
	expect(begun).toHaveLength(runningCount);
	expect([turns.length, timers.length]).toEqual([0, 1]);
	for (let count = 0; count < runningCount; count++) {
		admission.recordEnd(first);
	}

	timers[0]?.();
	expect(begun).toHaveLength(runningCount + 1);
});

// Guards against what is kept of each call for as long as its connection is open.
test('nothing is kept of calls that have begun or were refused', () => {
	let listeners = 0;
	const caller = {
		hasLeft: false,
		registerLeave() {
			listeners++;
			return () => {
				listeners--;
			};
		},
	};
	beginMs = 40;
	for (let turn = 0; turn < 400; turn++) {
		const call = buildCall(`call-${turn}`, openCaller().caller);
		admission.add({...call, caller}, now);
		advanceTurn(5);
	}

	while (turns.length > 0) {
		advanceTurn(5);
	}

	expect(begun.length + refused.length).toBe(400);
	expect(listeners).toBe(0);
});

// Load pattern: callers arrive in each turn for longer than the process reads on.
test('calls begin and the process counts as flooded while callers arrive without end', () => {
	for (let turn = 0; turn < 60; turn++) {
		expect(admission.isFlooded).toBe(false);
		const {caller} = openCaller();
		admission.add(buildCall(`call-${turn}`, caller), now);
		advanceTurn(5);
	}

	for (let turn = 0; turn < 60; turn++) {
		openCaller();
		advanceTurn(5);
	}

	expect(begun.length).toBeGreaterThan(0);
	expect(admission.isFlooded).toBe(true);
	advanceTurn();
	advanceTurn();
	expect(admission.isFlooded).toBe(false);
});

// Load pattern: beginning a call takes longer than the time between two arrivals.
test('calls that can not begin in time are refused at once, and recorded', () => {
	beginMs = 40;
	for (let turn = 0; turn < 2000; turn++) {
		const {caller} = openCaller();
		admission.add(buildCall(`call-${turn}`, caller), now);
		advanceTurn(5);
	}

	expect(refused.length).toBeGreaterThan(100);
	expect(refused.every(({result}) => result === 'overloaded')).toBe(true);
	expect(begun.length).toBeGreaterThan(40);
	expect(states[0]).toMatchObject({service: 'desk'});
});

test('what a new connection had sent counts from when all connections before had been accepted', () => {
	unreadMs = 1500;
	const {caller} = openCaller();
	unreadMs = 0;
	advanceTurn(3);
	expect(admission.arrivals.recordRequest(caller.acceptance, now)).toBe(-500);
	advanceTurn();
	advanceTurn();
	// A later request of the connection has not waited.
	expect(admission.arrivals.recordRequest(caller.acceptance, now)).toBe(now);
});
