/**
 * Typed view of the table's rows that the decision functions read. An update
 * costs time for the changed rows only.
 */
import {
	type CustomerId,
	type ModelName,
	type ServiceName,
	toCustomerId,
	toModelName,
	toServiceName,
} from '../protocol/ids.js';
import {
	cellSchemas,
	type CustomerCells,
	type ModelCells,
	type RowKey,
	type RowKind,
	type ServiceCells,
} from '../protocol/table-schema.js';
import {type BucketChange, BucketMap} from './bucket-map.js';

/** Cells of a row as text, by column. */
export type RowCells = Readonly<Record<string, string>>;

/** The table's rows with typed cells, by kind. */
export type TableView = {
	readonly customers: ReadonlyMap<CustomerId, CustomerCells>;
	readonly services: ReadonlyMap<ServiceName, ServiceCells>;
	readonly models: ReadonlyMap<ModelName, ModelCells>;
	/** Customer that each key digest belongs to (SHA-256, lower-case hexadecimal). */
	readonly customerOfKey: ReadonlyMap<string, CustomerId>;
};

/** A view from which newer views are derived. */
export type UpdatableTableView = TableView & {
	readonly customers: BucketMap<CustomerId, CustomerCells>;
	readonly services: BucketMap<ServiceName, ServiceCells>;
	readonly models: BucketMap<ModelName, ModelCells>;
	readonly customerOfKey: BucketMap<string, CustomerId>;
};

export function createTableView(): UpdatableTableView {
	return {
		customers: BucketMap.create(),
		services: BucketMap.create(),
		models: BucketMap.create(),
		customerOfKey: BucketMap.create(),
	};
}

/** Splits a row's key into its kind and name. */
export function parseRowKey(key: RowKey): {kind: RowKind; name: string} {
	const slash = key.indexOf('/');
	return {kind: key.slice(0, slash) as RowKind, name: key.slice(slash + 1)};
}

/** Applies changed rows: the new cells of each, or undefined if it was removed. */
export function updateTableView(
	view: UpdatableTableView,
	changed: ReadonlyMap<RowKey, RowCells | undefined>,
): UpdatableTableView {
	const customers: Array<BucketChange<CustomerId, CustomerCells>> = [];
	const services: Array<BucketChange<ServiceName, ServiceCells>> = [];
	const models: Array<BucketChange<ModelName, ModelCells>> = [];
	for (const [key, cells] of changed) {
		const {kind, name} = parseRowKey(key);
		if (kind === 'customer') {
			customers.push([
				toCustomerId(name),
				cells && cellSchemas.customer.parse(cells),
			]);
		} else if (kind === 'service') {
			services.push([
				toServiceName(name),
				cells && cellSchemas.service.parse(cells),
			]);
		} else {
			models.push([toModelName(name), cells && cellSchemas.model.parse(cells)]);
		}
	}

	return {
		customers: view.customers.apply(customers),
		services: view.services.apply(services),
		models: view.models.apply(models),
		customerOfKey: view.customerOfKey.apply(
			listKeyDigestChanges(view.customers, customers),
		),
	};
}

/**
 * Lists the changes of `customerOfKey`. The old keys of all changed customers
 * come first, so that a key can move from one customer to another.
 */
function listKeyDigestChanges(
	before: ReadonlyMap<CustomerId, CustomerCells>,
	changed: ReadonlyArray<BucketChange<CustomerId, CustomerCells>>,
): Array<BucketChange<string, CustomerId>> {
	const removed = changed
		.map(([id]) => before.get(id)?.key_sha256 ?? '')
		.filter((digest) => digest !== '')
		.map((digest) => [digest, undefined] as const);
	const added = changed
		.filter(([, cells]) => cells !== undefined && cells.key_sha256 !== '')
		.map(([id, cells]) => [cells?.key_sha256 ?? '', id] as const);
	return [...removed, ...added];
}
