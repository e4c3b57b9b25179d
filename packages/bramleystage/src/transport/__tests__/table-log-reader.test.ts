/** Reads of the table's log over links that are slow, stalled or sound. */
import {once} from 'node:events';
import http, {type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {toLogOffset} from '../../protocol/ids.js';
import {type LogRecords, PlatformClient} from '../platform-client.js';
import {waitFor} from '../wait-for.js';
import {TableLogReader} from '../table-log-reader.js';

const pieceIntervalMs = 100;
/** So many that a batch takes longer than a silent read may. */
const pieceCount = 110;
const readClock = () => performance.now();

const cleanUps: Array<() => void> = [];

afterEach(() => {
	for (const cleanUp of cleanUps.splice(0)) {
		cleanUp();
	}
});

type TestLog = {
	readonly address: string;
	/** Responses to the reads so far, oldest first. */
	readonly responses: ServerResponse[];
	/** The most reads that were open beside each other. */
	maxOpen: number;
};

/** Starts a log that serves the read of each number, from 0, as told. */
async function startLog(
	serve: (response: ServerResponse, index: number) => void,
): Promise<TestLog> {
	let open = 0;
	const server = http.createServer((_, response) => {
		open++;
		log.maxOpen = Math.max(log.maxOpen, open);
		response.on('close', () => {
			open--;
		});
		log.responses.push(response);
		serve(response, log.responses.length - 1);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	cleanUps.push(() => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const log: TestLog = {
		address: `127.0.0.1:${port}`,
		responses: [],
		maxOpen: 0,
	};
	return log;
}

const formatBatch = (next: number) =>
	JSON.stringify({first: 0, next, records: [{offset: next - 1, value: 'x'}]});

/** Sends a batch in `count` pieces, `pieceIntervalMs` apart; ends it only if it is whole. */
async function writeSlowly(
	response: ServerResponse,
	text: string,
	count = pieceCount,
) {
	const padded = text.padEnd(pieceCount);
	const size = Math.ceil(padded.length / pieceCount);
	for (let index = 0; index < count; index++) {
		response.write(padded.slice(index * size, (index + 1) * size));

		await waitFor(pieceIntervalMs);
	}

	if (count === pieceCount) {
		response.end();
	}
}

/** Answers after the wait for which a log without new records holds a read. */
const answerLater = (response: ServerResponse, next: number) => {
	setTimeout(() => {
		response.end(formatBatch(next));
	}, 500);
};

type TestReader = {readonly batches: LogRecords[]; readonly failures: string[]};

function startReader(
	{address}: TestLog,
	handleBatch: () => Promise<void> = async () => undefined,
): TestReader {
	const batches: LogRecords[] = [];
	const failures: string[] = [];
	const reader = new TableLogReader(new PlatformClient(address), {
		readNext: () => toLogOffset(batches.at(-1)?.next ?? 0),
		async onBatch(batch) {
			batches.push(batch);
			await handleBatch();
		},
		onFailure(detail) {
			failures.push(detail);
		},
		readClock,
	});
	cleanUps.push(() => {
		reader.close();
	});
	return {batches, failures};
}

async function waitUntilTrue(isTrue: () => boolean, timeoutMs = 20_000) {
	const until = readClock() + timeoutMs;
	while (!isTrue() && readClock() < until) {
		await waitFor(20);
	}

	expect(isTrue()).toBe(true);
}

// Guards against copies of one batch that share a slow link with each other.
test('a read that keeps receiving bytes has no other one beside it', async () => {
	const log = await startLog((response, index) => {
		if (index === 0) {
			void writeSlowly(response, formatBatch(7));
		} else {
			answerLater(response, 8);
		}
	});
	const {batches, failures} = startReader(log);
	await waitUntilTrue(() => batches.length > 0);
	expect(batches[0]?.next).toBe(7);
	expect(log.maxOpen).toBe(1);
	expect(failures).toEqual([]);
});

// Guards against another read while a batch is being applied, which may read a snapshot over the same link.
test('no read starts while a batch is being applied', async () => {
	const log = await startLog((response) => {
		answerLater(response, 8);
	});
	const {batches} = startReader(log, async () => waitFor(3000));
	await waitUntilTrue(() => batches.length > 0);
	await waitFor(2000);
	expect(log.responses).toHaveLength(1);
});

// Guards against a table that is not read on because one connection has stalled.
test('a stalled connection keeps no read from a new one, and its late answer is used', async () => {
	const log = await startLog((response, index) => {
		if (index > 0) {
			answerLater(response, 5 + index);
		}
	});
	const startedAt = readClock();
	const {batches} = startReader(log);
	await waitUntilTrue(() => batches.length > 0);
	expect(readClock() - startedAt).toBeLessThan(3000);
	log.responses[0]?.end(formatBatch(99));
	await waitUntilTrue(() => batches.some(({next}) => next === 99));
});

// Guards against waiting for the rest of a batch on a connection that stalls in the middle of it.
test('a connection that stalls within a batch keeps no read from a new one', async () => {
	const log = await startLog((response, index) => {
		if (index === 0) {
			void writeSlowly(response, formatBatch(7), 5);
		} else {
			answerLater(response, 8);
		}
	});
	const startedAt = readClock();
	const {batches} = startReader(log);
	await waitUntilTrue(() => batches.length > 0);
	expect(batches[0]?.next).toBe(8);
	expect(readClock() - startedAt).toBeLessThan(4000);
});

// Guards against reads without a bound while the log answers none.
test('at most four reads are open while the log is silent', async () => {
	const log = await startLog(() => undefined);
	startReader(log);
	await waitUntilTrue(() => log.responses.length === 4);
	await waitFor(2000);
	expect(log.responses).toHaveLength(4);
});
