/** The table that the table bench starts from, and the cost of folding it. */
import {
	createTable,
	createTableView,
	foldRecord,
	PlatformClient,
	toLogOffset,
	updateTableView,
} from 'bramleystage';
import {formatRow} from './table-operators.js';

const importRows = 2000;

/** Rows as the first records of the log. */
export async function publishTable(
	platform: string,
	rows: number,
): Promise<void> {
	const client = new PlatformClient(platform);
	for (let from = 0; from < rows; from += importRows) {
		// eslint-disable-next-line no-await-in-loop -- in order
		await client.append(
			'table',
			createImport(from, Math.min(rows, from + importRows)),
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
const foldRuns = 2000;

/**
 * Cost of one fold in a table of the full size and of its import; the baseline
 * is the view built from all rows, as each fold would without sharing.
 */
export function measureFold(readClock: () => number): Record<string, number> {
	const importedFrom = readClock();
	let {table} = foldRecord(
		createTable(),
		toLogOffset(0),
		createImport(0, largeTableRows),
	);
	const importMs = readClock() - importedFrom;
	const foldedFrom = readClock();
	for (let run = 1; run <= foldRuns; run++) {
		({table} = foldRecord(table, toLogOffset(run), {
			kind: 'edit',
			format: 1,
			edit: `fold-${run}`,
			author: 'bench',
			at: '',
			changes: [{row: formatRow(run), against: 0, cells: {weight: '2'}}],
		}));
	}

	const foldUs = ((readClock() - foldedFrom) * 1000) / foldRuns;
	const builtFrom = readClock();
	updateTableView(
		createTableView(),
		new Map([...table.rows].map(([key, {cells}]) => [key, cells])),
	);
	const rebuildUs = (readClock() - builtFrom) * 1000;
	return {
		fold_rows: largeTableRows,
		fold_us: Math.round(foldUs),
		rebuild_us: Math.round(rebuildUs),
		import_fold_ms: Math.round(importMs),
	};
}
