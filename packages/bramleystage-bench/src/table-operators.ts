/** The operators of the table bench: each publishes edits through a fold of its own. */
import {
	createLogger,
	type EditResult,
	editRecordSchema,
	findRowVersion,
	LifeCycle,
	PlatformClient,
	publishEdit,
	rowKeySchema,
	TableFollower,
	toDataCentreId,
	waitFor,
} from 'bramleystage';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** An edit whose author was told what became of it. */
export type PublishedEdit = {
	readonly result: EditResult;
	/** When its author was told, on the bench's clock. */
	readonly toldAt: number;
};

export type OperatorOptions = {
	readonly platform: string;
	readonly name: string;
	readonly seed: number;
	readonly edits: number;
	readonly rows: number;
	/** Time between two edits of one operator, in milliseconds. */
	readonly paceMs: number;
	readonly readClock: () => number;
};

export type OperatorResult = {
	readonly published: readonly PublishedEdit[];
	/** Edits whose author was not told in time. */
	readonly unknown: number;
};

const timeoutMs = 60_000;
/** This share of edits goes to one row that all operators edit. */
const sharedRowEvery = 10;

/** Publishes an operator's edits, each against the rows as it sees them then. */
export async function runOperator(
	options: OperatorOptions,
): Promise<OperatorResult> {
	const {name, seed, edits, rows, paceMs, readClock} = options;
	const random = xoroshiro128plus(seed);
	const lifeCycle = new LifeCycle();
	const platform = new PlatformClient(options.platform);
	const follower = new TableFollower({
		platform,
		dataCentre: toDataCentreId('desk'),
		lifeCycle,
		logger: createLogger('error', {}),
		readClock,
	});
	await waitForRows(follower, rows);
	const published: PublishedEdit[] = [];
	let unknown = 0;

	const publish = async (index: number) => {
		const picked =
			index % sharedRowEvery === 0 ? 0 : uniformInt(random, 1, rows - 1);
		const row = rowKeySchema.parse(formatRow(picked));
		const record = editRecordSchema.parse({
			kind: 'edit',
			format: 1,
			edit: `${name}-${index}`,
			author: name,
			at: new Date().toISOString(),
			changes: [
				{
					row,
					against: findRowVersion(follower.table.value, row),
					cells: {weight: String(uniformInt(random, 1, 1000))},
				},
			],
		});
		const result = await publishEdit(record, {
			platform,
			follower,
			timeoutMs,
			readClock,
		});
		if (result.isOk()) {
			published.push({result: result.value, toldAt: readClock()});
		} else {
			unknown++;
		}
	};

	const running: Array<Promise<void>> = [];
	for (let index = 0; index < edits; index++) {
		running.push(publish(index));
		// eslint-disable-next-line no-await-in-loop -- paced
		await waitFor(paceMs);
	}

	await Promise.all(running);
	await lifeCycle.stop();
	return {published, unknown};
}

/** Key of the bench's row at an index. */
export const formatRow = (index: number) => `customer/müşteri-${index}`;

async function waitForRows(
	follower: TableFollower,
	rows: number,
): Promise<void> {
	while (follower.table.value.rows.size < rows) {
		// eslint-disable-next-line no-await-in-loop -- polls until there
		await waitFor(20);
	}
}
