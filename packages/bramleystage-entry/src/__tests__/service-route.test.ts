/** What callers of a plain service are told of the answers and failures of their calls. */
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	type CallAnswer,
	createFailure,
	type Failure,
	toCustomerId,
	toRequestId,
	toServiceName,
} from 'bramleystage';
import {ok} from 'neverthrow';
import {afterEach, expect, test} from 'vitest';
import {runServiceRoute, type ServiceRouteOptions} from '../service-route.js';

let server: http.Server | undefined;

afterEach(() => {
	server?.close();
	server?.closeAllConnections();
});

/** Calls a service whose call ends in the given way; returns status and body of the response. */
async function sendCall(
	result: CallAnswer | Failure,
): Promise<readonly [number, string]> {
	const service = toServiceName('desk');
	const cells = {
		idempotent_paths: [],
		non_idempotent_paths: [],
	};
	const options = {
		calls: {
			start({onEnd}: {onEnd: (end: unknown, metadata: object) => void}) {
				onEnd(result, {attempts: 1, target: undefined});
			},
			handle: () => undefined,
		},
		audit: {record: () => undefined},
		logger: {warn: () => undefined},
		readClock: () => 0,
		limits: {acquire: async () => ok(() => undefined)},
	} as unknown as ServiceRouteOptions;
	server = http.createServer((message, response) => {
		const context = {
			request: toRequestId('r'),
			customer: toCustomerId('c'),
			view: {services: new Map([[service, cells]]), customers: new Map()},
			deadlineMs: 1000,
			response,
		} as unknown as Parameters<typeof runServiceRoute>[1];
		void runServiceRoute(options, context, message, Buffer.alloc(0));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const response = await fetch(
		`http://127.0.0.1:${port}/v1/services/desk/book`,
		{method: 'POST'},
	);
	return [response.status, await response.text()];
}

const buildAnswer = (status: number): CallAnswer => ({
	type: 'callAnswer',
	request: toRequestId('r'),
	status,
	headers: [],
	body: Buffer.from('detail'),
});

// Guards against callers that repeat a call that has run, since its service's status says that it has not.
test.each([408, 421, 429, 503])(
	'a status %i of a service promises nothing',
	async (status) => {
		const [received, body] = await sendCall(buildAnswer(status));
		expect(received).toBe(502);
		expect(body).toContain('"outcome":"unknown"');
	},
);

test.each([200, 404, 409, 500, 504])(
	'a status %i of a service is forwarded',
	async (status) => {
		expect(await sendCall(buildAnswer(status))).toEqual([status, 'detail']);
	},
);

// Guards against a refusal after a first agent may have run the call.
test('a failure that leaves open whether the call has run has no status that promises it', async () => {
	const refusal = createFailure('noBackend', 'None is left.');
	const [refusedStatus] = await sendCall(refusal);
	expect(refusedStatus).toBe(503);
	const [status, body] = await sendCall({...refusal, outcome: 'unknown'});
	expect(status).toBe(502);
	expect(body).toContain('"outcome":"unknown"');
});
