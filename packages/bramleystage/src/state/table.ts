/**
 * The table as a fold over the records of the platform's log. Every process
 * folds the same records to the same table: an edit is applied row by row, and
 * a row that was changed since the version its author saw is refused at every
 * process alike. A snapshot is immutable; `foldRecord` gives the next one.
 */
import {
	type CustomerId,
	type EditId,
	type LogOffset,
	type ModelName,
	type ServiceName,
	toCustomerId,
	toLogOffset,
	toModelName,
	toServiceName,
} from '../protocol/ids.js';
import {
	type CustomerCells,
	cellSchemas,
	editRecordSchema,
	type ModelCells,
	type RowChange,
	type RowKey,
	type RowKind,
	type ServiceCells,
} from '../protocol/table-schema.js';

/** A row as text, with the offset of the record that last changed it. */
export type TableRow = {
	readonly version: LogOffset;
	readonly cells: Readonly<Record<string, string>>;
};

/** Rows typed by kind, for the decisions. */
export type TableView = {
	readonly customers: ReadonlyMap<CustomerId, CustomerCells>;
	readonly services: ReadonlyMap<ServiceName, ServiceCells>;
	readonly models: ReadonlyMap<ModelName, ModelCells>;
	/** Customer of each key digest (SHA-256, lower-case hexadecimal). */
	readonly customerOfKey: ReadonlyMap<string, CustomerId>;
};

export type TableSnapshot = {
	/** Offset of the next record to fold. */
	readonly next: LogOffset;
	readonly rows: ReadonlyMap<RowKey, TableRow>;
	readonly view: TableView;
	/** Records that were no valid edit, skipped at every process alike. */
	readonly skipped: number;
};

/** What became of one edit. */
export type EditResult = {
	readonly edit: EditId;
	readonly offset: LogOffset;
	readonly accepted: readonly RowKey[];
	readonly refused: readonly RowKey[];
};

const emptyView: TableView = {
	customers: new Map(),
	services: new Map(),
	models: new Map(),
	customerOfKey: new Map(),
};

/** Creates the table before any record. */
export function createTable(): TableSnapshot {
	return {next: toLogOffset(0), rows: new Map(), view: emptyView, skipped: 0};
}

/** Folds one record; gives what became of it, or nothing for a skipped record. */
export function foldRecord(
	table: TableSnapshot,
	offset: LogOffset,
	record: unknown,
): {table: TableSnapshot; result: EditResult | undefined} {
	const next = toLogOffset(offset + 1);
	const parsed = editRecordSchema.safeParse(record);
	if (!parsed.success) {
		return {
			table: {...table, next, skipped: table.skipped + 1},
			result: undefined,
		};
	}

	const rows = new Map(table.rows);
	const accepted: RowKey[] = [];
	const refused: RowKey[] = [];
	for (const change of parsed.data.changes) {
		const isApplied = applyChange(rows, change, offset);
		(isApplied ? accepted : refused).push(change.row);
	}

	return {
		table: {...table, next, rows, view: buildView(rows)},
		result: {edit: parsed.data.edit, offset, accepted, refused},
	};
}

function applyChange(
	rows: Map<RowKey, TableRow>,
	change: RowChange,
	offset: LogOffset,
): boolean {
	const current = rows.get(change.row);
	if ((current?.version ?? null) !== change.against) {
		return false;
	}

	if (change.cells === null) {
		rows.delete(change.row);
		return true;
	}

	const cells = {...current?.cells, ...change.cells};
	const {kind} = parseRowKey(change.row);
	if (!cellSchemas[kind].safeParse(cells).success) {
		return false;
	}

	rows.set(change.row, {version: offset, cells});
	return true;
}

/** Splits a row's key into its kind and name. */
export function parseRowKey(key: RowKey): {kind: RowKind; name: string} {
	const slash = key.indexOf('/');
	return {kind: key.slice(0, slash) as RowKind, name: key.slice(slash + 1)};
}

function buildView(rows: ReadonlyMap<RowKey, TableRow>): TableView {
	const customers = new Map<CustomerId, CustomerCells>();
	const services = new Map<ServiceName, ServiceCells>();
	const models = new Map<ModelName, ModelCells>();
	const customerOfKey = new Map<string, CustomerId>();
	for (const [key, row] of rows) {
		const {kind, name} = parseRowKey(key);
		if (kind === 'customer') {
			const cells = cellSchemas.customer.parse(row.cells);
			customers.set(toCustomerId(name), cells);
			if (cells.key_sha256 !== '') {
				customerOfKey.set(cells.key_sha256, toCustomerId(name));
			}
		} else if (kind === 'service') {
			services.set(toServiceName(name), cellSchemas.service.parse(row.cells));
		} else {
			models.set(toModelName(name), cellSchemas.model.parse(row.cells));
		}
	}

	return {customers, services, models, customerOfKey};
}
