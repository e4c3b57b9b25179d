/** Operators of the table bench; each publishes edits and follows the table on its own. */
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

/** An edit whose outcome was reported to its author. */
export type PublishedEdit = {
	readonly result: EditResult;
	/** When its author received the outcome, on the bench's clock. */
	readonly confirmedAt: number;
};

export type OperatorOptions = {
	readonly platform: string;
	readonly name: string;
	readonly seed: number;
	readonly edits: number;
	readonly rows: number;
	/** Time between two edits of one operator, in milliseconds. */
	readonly editIntervalMs: number;
	readonly readClock: () => number;
};

export type OperatorResult = {
	readonly published: readonly PublishedEdit[];
	/** Number of edits whose outcome wasn't known within the timeout. */
	readonly unknown: number;
};

const timeoutMs = 60_000;
/** One of this many edits goes to a row that all operators edit, so that edits conflict. */
const sharedRowInterval = 10;

/** Publishes an operator's edits, each against the row versions that it has at that time. */
export async function runOperator(
	options: OperatorOptions,
): Promise<OperatorResult> {
	const {name, seed, edits, rows, editIntervalMs, readClock} = options;
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
		const rowIndex =
			index % sharedRowInterval === 0 ? 0 : uniformInt(random, 1, rows - 1);
		const row = rowKeySchema.parse(formatRow(rowIndex));
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
			published.push({result: result.value, confirmedAt: readClock()});
		} else {
			unknown++;
		}
	};

	const publications: Array<Promise<void>> = [];
	for (let index = 0; index < edits; index++) {
		publications.push(publish(index));
		// eslint-disable-next-line no-await-in-loop -- waits between edits
		await waitFor(editIntervalMs);
	}

	await Promise.all(publications);
	await lifeCycle.stop();
	return {published, unknown};
}

/** Returns the key of the bench's row with this index. */
export const formatRow = (index: number) => `customer/müşteri-${index}`;

async function waitForRows(
	follower: TableFollower,
	rows: number,
): Promise<void> {
	while (follower.table.value.rows.size < rows) {
		// eslint-disable-next-line no-await-in-loop -- polls until all rows are folded
		await waitFor(20);
	}
}
