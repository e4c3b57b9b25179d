/** Initial table of the table bench, and the cost of folding edits into a table. */
import {
	createTable,
	createTableView,
	foldRecord,
	PlatformClient,
	toLogOffset,
	updateTableView,
} from 'bramleystage';
import {formatRow} from './table-operators.js';

const rowsPerRecord = 2000;

/** Appends the initial rows as the first records of the log. */
export async function publishInitialTable(
	platform: string,
	rows: number,
): Promise<void> {
	const client = new PlatformClient(platform);
	for (let from = 0; from < rows; from += rowsPerRecord) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await client.append(
			'table',
			createImport(from, Math.min(rows, from + rowsPerRecord)),
		);
	}
}

function createImport(from: number, until: number): Record<string, unknown> {
	return {
		kind: 'edit',
		format: 1,
		edit: `import-${from}`,
		author: 'import',
		at: '',
		changes: Array.from({length: until - from}, (_, index) => ({
			row: formatRow(from + index),
			against: null,
			cells: {
				weight: '1',
				requests_per_second: '50',
				key_sha256: (from + index).toString(16).padStart(64, '0'),
			},
		})),
	};
}

const largeTableRows = 24_000;
const foldCount = 2000;

/**
 * Measures the cost of folding one edit into a table of full size, and of folding
 * the import of that table. The baseline rebuilds the view from all rows, as each
 * fold would have to without structural sharing.
 */
export function measureFold(readClock: () => number): Record<string, number> {
	const importStartedAt = readClock();
	let {table} = foldRecord(
		createTable(),
		toLogOffset(0),
		createImport(0, largeTableRows),
	);
	const importMs = readClock() - importStartedAt;
	const foldStartedAt = readClock();
	for (let run = 1; run <= foldCount; run++) {
		({table} = foldRecord(table, toLogOffset(run), {
			kind: 'edit',
			format: 1,
			edit: `fold-${run}`,
			author: 'bench',
			at: '',
			changes: [{row: formatRow(run), against: 0, cells: {weight: '2'}}],
		}));
	}

	const foldUs = ((readClock() - foldStartedAt) * 1000) / foldCount;
	const rebuildStartedAt = readClock();
	updateTableView(
		createTableView(),
		new Map([...table.rows].map(([key, {cells}]) => [key, cells])),
	);
	const rebuildUs = (readClock() - rebuildStartedAt) * 1000;
	return {
		fold_rows: largeTableRows,
		fold_us: Math.round(foldUs),
		rebuild_us: Math.round(rebuildUs),
		import_fold_ms: Math.round(importMs),
	};
}
