import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {
	toDataCentreId,
	toHostId,
	toIncarnation,
	toSessionNumber,
} from '../../protocol/ids.js';
import {type Hello, protocolVersion} from '../../protocol/messages.js';
import {parseAddress} from '../address.js';
import {checkHello, openSession} from '../session-handshake.js';
import {listenForSessions, type SessionListener} from '../session-listener.js';
import {defaultSessionTiming as timing, type Session} from '../session.js';

const identity = {
	host: toHostId('h'),
	dataCentre: toDataCentreId('d'),
	incarnation: toIncarnation('i'),
};
const hello: Hello = {
	type: 'hello',
	version: protocolVersion,
	deployment: 'kaleli',
	role: 'entry',
	session: toSessionNumber(1),
	...identity,
};
const describeSelf = () => ({leaving: false});

let listener: SessionListener;
let accepted: Session[] = [];

beforeEach(async () => {
	accepted = [];
	listener = await listenForSessions({
		address: '127.0.0.1:0',
		welcome: {type: 'welcome', role: 'agent', ...identity},
		timing,
		describeSelf,
		check: (each) => checkHello(each, 'kaleli'),
		onSession(session) {
			accepted.push(session);
		},
	});
});

afterEach(async () => {
	await listener.close();
});

test.each([
	['another deployment', {deployment: 'cooperative'}, /^deploymentMismatch/v],
	['another version', {version: protocolVersion + 1}, /^versionMismatch/v],
])('a hello of %s is refused with the reason', async (_, changed, reason) => {
	const opening = openSession(listener.address, {...hello, ...changed}, timing);
	await expect(opening).rejects.toThrow(reason);
	expect(accepted).toEqual([]);
});

/** Sends bytes and resolves when the other end closes the connection. */
async function sendBytes(bytes: Uint8Array): Promise<void> {
	const {host, port} = parseAddress(listener.address);
	await new Promise<void>((resolve) => {
		const socket = connect({host, port}, () => {
			socket.write(bytes);
		});
		socket.on('error', () => {
			// A close event follows.
		});
		socket.once('close', () => {
			resolve();
		});
	});
}

test('an invalid frame closes only its own connection', async () => {
	const session = await openSession(listener.address, hello, timing);
	session.start({timing, describeSelf});
	await expect.poll(() => accepted.length).toBe(1);
	await sendBytes(Uint8Array.of(0xff, 0xff, 0xff, 0xff, 1));
	await sendBytes(Uint8Array.of(0, 0, 0, 2, 0xff, 0xff));
	expect(session.isClosed).toBe(false);
	expect(accepted[0]?.isClosed).toBe(false);
	session.close({result: 'stopping', outcome: 'unknown', detail: ''});
});
