import {readFileSync} from 'node:fs';
import {
	columnNames,
	createLogger,
	editRecordSchema,
	LifeCycle,
	PlatformClient,
	publishEdit,
	readNewestSnapshot,
	resultCodes,
	tableColumns,
	TableFollower,
	TableSnapshotWriter,
	tableStream,
	toDataCentreId,
	toLogOffset,
	waitFor,
} from 'bramleystage';
import {
	defaultPlatformOptions,
	startPlatformStandIn,
	type StandIn,
} from 'bramleystage-stand-ins';
import {afterEach, expect, test} from 'vitest';
import {TableClient} from '../table-client.js';
import {runSet, tableExitCodes} from '../table-write.js';

const lifeCycles: LifeCycle[] = [];
const readClock = () => performance.now();
const logger = createLogger('error', {});

afterEach(async () => {
	await Promise.all(lifeCycles.splice(0).map(async (each) => each.stop()));
});

const createLifeCycle = () => {
	const lifeCycle = new LifeCycle();
	lifeCycles.push(lifeCycle);
	return lifeCycle;
};

const startPlatformAndClient = async (
	retainedRecords = 100_000,
): Promise<{platform: StandIn; client: PlatformClient}> => {
	const platform = await startPlatformStandIn({
		...defaultPlatformOptions,
		retainedRecords,
	});
	createLifeCycle().register(async () => platform.close());
	return {platform, client: new PlatformClient(platform.address)};
};

const createFollower = (client: PlatformClient) =>
	new TableFollower({
		platform: client,
		dataCentre: toDataCentreId('izmir-a'),
		lifeCycle: createLifeCycle(),
		logger,
		readClock,
	});

const createRecord = (edit: string, row: string, weight: string) =>
	editRecordSchema.parse({
		kind: 'edit',
		format: 1,
		edit,
		author: 'Ayşe',
		at: '',
		changes: [{row, against: null, cells: {weight}}],
	});

const waitUntilTrue = async (isTrue: () => boolean) => {
	for (let attempt = 0; attempt < 500 && !isTrue(); attempt++) {
		await waitFor(20);
	}

	expect(isTrue()).toBe(true);
};

test('an edit whose append responses were lost is in the log once', async () => {
	const {platform, client} = await startPlatformAndClient();
	const follower = createFollower(client);
	await waitUntilTrue(() => follower.provedCompleteAt !== undefined);
	platform.setFaults({loseAnswers: 2});
	const result = await publishEdit(createRecord('a', 'customer/a', '1'), {
		platform: client,
		follower,
		timeoutMs: 20_000,
		readClock,
	});
	platform.setFaults({loseAnswers: 0});
	expect(result._unsafeUnwrap().accepted).toEqual(['customer/a']);
	const batch = await client.readRecords(tableStream, toLogOffset(0));
	expect(batch._unsafeUnwrap().records).toHaveLength(1);
});

test('a follower whose unread records have expired restores the table from the snapshot', async () => {
	const {client} = await startPlatformAndClient(5);
	const firstFollower = createFollower(client);
	const lifeCycle = createLifeCycle();
	const writer = new TableSnapshotWriter({
		platform: client,
		timing: {intervalMs: 1000, records: 1},
		lifeCycle,
		logger,
		readTable: () => firstFollower.table.value,
		readClock,
		drawNumber: () => 0,
	});
	for (let index = 0; index < 8; index++) {
		await client.append(
			tableStream,
			createRecord(`e${index}`, `customer/${index}`, '1'),
		);
	}

	await waitUntilTrue(() => firstFollower.table.value.next === 8);
	const lateFollower = createFollower(client);
	await waitFor(300);
	expect(lateFollower.table.value.next).toBe(0);
	expect(lateFollower.isStale).toBe(true);
	await writer.check();
	await waitUntilTrue(() => lateFollower.table.value.next === 8);
	expect(new Map(lateFollower.table.value.rows)).toEqual(
		new Map(firstFollower.table.value.rows),
	);
	const found = await readNewestSnapshot(client);
	expect(found._unsafeUnwrap().table?.next).toBe(8);
});

test('a read that never gets a response does not stop the follower', async () => {
	const {platform, client} = await startPlatformAndClient();
	const follower = createFollower(client);
	await waitUntilTrue(() => follower.provedCompleteAt !== undefined);
	platform.setFaults({silent: true});
	await client.append(tableStream, createRecord('a', 'customer/a', '1'));
	await waitUntilTrue(() => follower.table.value.rows.size === 1);
});

test('set has distinct exit codes for an unwatched edit, invalid values, a conflict and an unreachable log', async () => {
	const {client, platform} = await startPlatformAndClient();
	const lines: string[] = [];
	const createOptions = (address: string) => {
		const tableClient = new TableClient({
			platform: address,
			operators: [],
			author: 'Bob',
			timeoutMs: 1500,
		});
		createLifeCycle().register(async () => tableClient.close());
		return {
			tableClient,
			author: 'Bob',
			hasOperators: false,
			print(line: string) {
				lines.push(line);
			},
		};
	};

	const set = async (row: string, cell: string) =>
		runSet(createOptions(platform.address), {
			row,
			assignments: [cell],
			isRemoval: false,
		});
	expect(await set('customer/a', 'weight=2')).toBe(
		tableExitCodes.notYetInForce,
	);
	expect(await set('customer/a', 'weight=1,5')).toBe(tableExitCodes.badValues);
	await client.append(tableStream, {
		...createRecord('k', 'customer/b', '1'),
		changes: [
			{
				row: 'customer/b',
				against: null,
				cells: {key_sha256: 'a'.repeat(64)},
			},
		],
	});
	expect(await set('customer/a', `key_sha256=${'a'.repeat(64)}`)).toBe(
		tableExitCodes.conflict,
	);
	platform.setFaults({down: true});
	expect(await set('customer/a', 'weight=3')).toBe(tableExitCodes.failed);
	expect(lines).toContain('refused (keyInUse)');
});

test('docs/TABLE.md lists every column, rule and exit code', () => {
	const page = readFileSync(
		new URL('../../../../docs/TABLE.md', import.meta.url),
		'utf8',
	);
	for (const [kind, columns] of Object.entries(tableColumns)) {
		for (const [column, {rule, meaning}] of Object.entries(columns)) {
			expect(page).toContain(
				`| ${kind} | \`${column}\` | ${rule} | ${meaning} |`,
			);
		}
	}

	const listed = [...page.matchAll(/^\| (?:customer|service|model) \| `/gmv)];
	const known = Object.values(tableColumns).flatMap((columns) =>
		Object.keys(columns),
	);
	expect(listed).toHaveLength(known.length);
	for (const [name, code] of Object.entries(tableExitCodes)) {
		expect(page).toContain(`| ${code} | ${name} |`);
	}

	expect(columnNames.length).toBeGreaterThan(0);
	expect(page).toContain(String(resultCodes.tableStale.code));
});
