/** Dumps of processes over a link so slow that they are under way for seconds. */
import {once} from 'node:events';
import http, {type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {toLogOffset, waitFor} from 'bramleystage';
import {
	defaultPlatformOptions,
	startPlatformStandIn,
} from 'bramleystage-stand-ins';
import {afterEach, expect, test} from 'vitest';
import {TableClient} from '../table-client.js';
import {runCommand} from './start-command.js';

const pieceIntervalMs = 100;

const cleanUps: Array<() => unknown> = [];

afterEach(async () => {
	await Promise.all(cleanUps.splice(0).map(async (cleanUp) => cleanUp()));
});

const dumpText = JSON.stringify({
	host: 'entry-1',
	tableOffset: 9,
	tablePeers: {},
});

type TestOperators = {
	readonly address: string;
	/** Number of dumps that were asked for. */
	readonly countDumps: () => number;
};

async function startOperators(
	serve: (response: ServerResponse) => void,
): Promise<TestOperators> {
	let dumps = 0;
	const server = http.createServer((_, response) => {
		dumps++;
		serve(response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	cleanUps.push(() => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {address: `127.0.0.1:${port}`, countDumps: () => dumps};
}

/** Sends a dump in pieces, `pieceIntervalMs` apart; only blanks, without an end, if `pieces` is infinite. */
async function writeSlowly(response: ServerResponse, pieces: number) {
	for (let index = 0; index < pieces - 1 && !response.destroyed; index++) {
		response.write(' ');

		await waitFor(pieceIntervalMs);
	}

	response.end(dumpText);
}

async function createTableClient(operators: string[], timeoutMs: number) {
	const platform = await startPlatformStandIn(defaultPlatformOptions);
	const client = new TableClient({
		platform: platform.address,
		operators,
		author: 'Ayşe',
		timeoutMs,
	});
	cleanUps.push(async () => {
		await client.close();
		await platform.close();
	});
	return client;
}

// Guards against a large dump that is begun again each second, so that an edit in force counts as lagging.
test('an edit is found in force by a dump that is under way for seconds', async () => {
	const operators = await startOperators((response) => {
		void writeSlowly(response, 25);
	});
	const client = await createTableClient([operators.address], 10_000);
	expect(await client.waitUntilInForce(toLogOffset(8))).toEqual([]);
	expect(operators.countDumps()).toBe(1);
});

// Guards against a dump without an end that holds the command past its own limit, or hides what the other processes have folded.
test('a dump that never ends leaves time to ask the others again', async () => {
	const endless = await startOperators((response) => {
		void writeSlowly(response, Number.POSITIVE_INFINITY);
	});
	const startedAt = performance.now();
	const sound = await startOperators((response) => {
		const isFolded = performance.now() - startedAt > 1500;
		response.end(
			JSON.stringify({
				host: 'entry-2',
				tableOffset: isFolded ? 9 : 0,
				tablePeers: {},
			}),
		);
	});
	const client = await createTableClient(
		[endless.address, sound.address],
		4000,
	);
	const lagging = await client.waitUntilInForce(toLogOffset(8));
	expect(lagging.map(({host}) => host)).toEqual([endless.address]);
	expect(performance.now() - startedAt).toBeLessThan(7000);
});

// Guards against waiting for a process that does not answer.
test('a process without an answer is asked again each second', async () => {
	const silent = await startOperators(() => undefined);
	const client = await createTableClient([silent.address], 3000);
	const lagging = await client.waitUntilInForce(toLogOffset(8));
	expect(lagging.map(({host}) => host)).toEqual([silent.address]);
	expect(silent.countDumps()).toBeGreaterThanOrEqual(3);
});

// Guards against a state that can't be printed because it is large.
test('dump prints a state that is under way for seconds', async () => {
	const operators = await startOperators((response) => {
		void writeSlowly(response, 60);
	});
	const {code, output} = await runCommand(['dump', operators.address]);
	expect(code).toBe(0);
	expect(JSON.parse(output)).toMatchObject({host: 'entry-1'});
});

test('dump ends with an error when a process does not answer', async () => {
	const silent = await startOperators(() => undefined);
	const {code, errors} = await runCommand(['dump', silent.address]);
	expect(code).toBe(1);
	expect(errors).toContain('5000 ms');
});
