/** The platform's log over a link so slow that a batch is under way for seconds. */
import {
	createLogger,
	createSnapshotParts,
	createTable,
	editRecordSchema,
	foldRecord,
	LifeCycle,
	type LogOffset,
	type LogRecords,
	PlatformClient,
	readNewestSnapshot,
	TableFollower,
	type TableSnapshot,
	tableSnapshotStream,
	tableStream,
	toDataCentreId,
	toLogOffset,
	waitFor,
} from 'bramleystage';
import {
	defaultPlatformOptions,
	type PlatformOptions,
	startPlatformStandIn,
} from 'bramleystage-stand-ins';
import {ok, type Result} from 'neverthrow';
import {afterEach, expect, test, vi} from 'vitest';

const recordBytesPerSecond = 40_000;
/** Longer than the wait for an answer over a sound link. */
const transferMs = 3000;
const textBytes = (recordBytesPerSecond * transferMs) / 1000;

const lifeCycles: LifeCycle[] = [];

afterEach(async () => {
	await Promise.all(lifeCycles.splice(0).map(async (each) => each.stop()));
	vi.restoreAllMocks();
});

const createLifeCycle = () => {
	const lifeCycle = new LifeCycle();
	lifeCycles.push(lifeCycle);
	return lifeCycle;
};

async function startPlatform(options: Partial<PlatformOptions> = {}) {
	const platform = await startPlatformStandIn({
		...defaultPlatformOptions,
		recordBytesPerSecond,
		...options,
	});
	createLifeCycle().register(async () => platform.close());
	return {platform, client: new PlatformClient(platform.address)};
}

/** Builds a table with one edit, at an offset, of so many rows that its snapshot is under way for `transferMs`. */
function buildLargeTable(offset: LogOffset): TableSnapshot {
	const rowBytes = 150;
	const record = editRecordSchema.parse({
		kind: 'edit',
		format: 1,
		edit: 'large',
		author: 'Ayşe',
		at: '',
		changes: Array.from({length: textBytes / rowBytes}, (_, index) => ({
			row: `customer/${'c'.repeat(40)}${index}`,
			against: null,
			cells: {weight: '1'},
		})),
	});
	return foldRecord({...createTable(), next: offset}, offset, record).table;
}

async function appendLargeSnapshot(
	client: PlatformClient,
	offset = toLogOffset(0),
) {
	const table = buildLargeTable(offset);
	for (const part of createSnapshotParts(table)) {
		await client.append(tableSnapshotStream, part);
	}

	return table;
}

// Guards against a batch that makes progress being given up and begun again for ever.
test('a batch that is under way for longer than an answer may take to begin is read', async () => {
	const {client} = await startPlatform();
	await client.append(tableStream, 'x'.repeat(textBytes));
	const startedAt = performance.now();
	const batch = await client.readRecords(tableStream, toLogOffset(0));
	expect(batch._unsafeUnwrap().records).toHaveLength(1);
	expect(performance.now() - startedAt).toBeGreaterThan(0.9 * transferMs);
});

// Guards against a table that can't be restored because its snapshot takes too long.
test('the newest snapshot is read over a slow link', async () => {
	const {client} = await startPlatform();
	const table = await appendLargeSnapshot(client);
	const found = await readNewestSnapshot(client);
	expect(table.rows.size).toBeGreaterThan(0);
	expect(found._unsafeUnwrap().table?.rows.size).toBe(table.rows.size);
});

// Guards against waiting for ever for a log that does not answer.
test('a read that the log leaves unanswered ends after two seconds', async () => {
	const {platform, client} = await startPlatform();
	platform.setFaults({slowMs: 60_000});
	const startedAt = performance.now();
	const batch = await client.readRecords(tableStream, toLogOffset(0));
	expect(batch._unsafeUnwrapErr().detail).toContain('2000 ms');
	expect(performance.now() - startedAt).toBeLessThan(4000);
});

// Guards against a read without an end on a link that passes on a little all the time.
test('a batch that never ends is given up after the total time', async () => {
	const {client} = await startPlatform({recordBytesPerSecond: 100});
	await client.append(tableStream, 'x'.repeat(textBytes));
	const batch = await client.readRecords(tableStream, toLogOffset(0), 0, {
		timeoutMs: 1000,
	});
	expect(batch._unsafeUnwrapErr().detail).toBe('No answer within 1000 ms.');
});

// Guards against a stopping process that waits for a snapshot on a slow link.
test('a read of snapshots ends with its signal', async () => {
	const {client} = await startPlatform();
	await appendLargeSnapshot(client);
	const abort = new AbortController();
	setTimeout(() => {
		abort.abort();
	}, 500);
	const startedAt = performance.now();
	const found = await readNewestSnapshot(client, toLogOffset(0), abort.signal);
	expect(found.isErr()).toBe(true);
	expect(performance.now() - startedAt).toBeLessThan(transferMs / 2);
});

const createFollower = (client: PlatformClient) =>
	new TableFollower({
		platform: client,
		dataCentre: toDataCentreId('izmir-a'),
		lifeCycle: createLifeCycle(),
		logger: createLogger('error', {}),
		readClock: () => performance.now(),
	});

async function waitUntilTrue(isTrue: () => boolean) {
	for (let attempt = 0; attempt < 500 && !isTrue(); attempt++) {
		await waitFor(20);
	}

	expect(isTrue()).toBe(true);
}

// Guards against copies of one snapshot that share a slow link with each other.
test('a table whose records have expired is restored by one read of the snapshot', async () => {
	const {client} = await startPlatform({retainedRecords: 5});
	await appendLargeSnapshot(client, toLogOffset(5));
	for (let index = 0; index < 8; index++) {
		await client.append(tableStream, index);
	}

	const readRecords = vi.spyOn(client, 'readRecords');
	const follower = createFollower(client);
	await waitUntilTrue(() => follower.table.value.next === 8);
	const snapshotReads = readRecords.mock.calls.filter(
		([stream, from]) => stream === tableSnapshotStream && from === 0,
	);
	expect(snapshotReads).toHaveLength(1);
});

// Guards against a second read of the snapshot when late answers also show that records have expired.
test('late answers begin no read of the snapshot beside another', async () => {
	const client = new PlatformClient('127.0.0.1:1');
	const answers: Array<() => void> = [];
	let snapshotReads = 0;
	vi.spyOn(client, 'readRecords').mockImplementation(
		async (stream) =>
			new Promise<Result<LogRecords, never>>((resolve) => {
				if (stream === tableStream) {
					const next = toLogOffset(5);
					answers.push(() => {
						resolve(ok({first: next, next, records: []}));
					});
				} else {
					snapshotReads++;
				}
			}),
	);
	createFollower(client);
	await waitUntilTrue(() => answers.length === 2);
	for (const answer of answers) {
		answer();
	}

	await waitFor(100);
	expect(snapshotReads).toBe(1);
});
