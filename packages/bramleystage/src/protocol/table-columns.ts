/**
 * Descriptions of the table's columns for operators: the meaning of each and the
 * rule for its values. Errors of an import cite these rules, and a test checks
 * docs/TABLE.md against this list.
 */
import type {
	CustomerCells,
	ModelCells,
	RowKind,
	ServiceCells,
} from './table-schema.js';

/** Description of one column. */
export type TableColumn = {
	readonly rule: string;
	readonly meaning: string;
	readonly isNumber: boolean;
};

type Columns<Cells> = Readonly<Record<keyof Cells, TableColumn>>;

const number = (rule: string, meaning: string): TableColumn => ({
	rule,
	meaning,
	isNumber: true,
});
const text = (rule: string, meaning: string): TableColumn => ({
	rule,
	meaning,
	isNumber: false,
});

const weightRule = 'a number above 0, at most 1000000';
const priorityRule = 'a whole number from 0 to 9';
const limitRule = 'a number from 0 to 1000000000';
const pathsRule = 'paths separated by spaces';

const limits = {
	requests_per_second: number(limitRule, 'Requests a second, over all entries'),
	tokens_per_second: number(limitRule, 'Tokens a second, over all entries'),
	concurrent: number(limitRule, 'Requests at the same time, over all entries'),
};
const common = {
	weight: number(weightRule, 'Share of the load where work contends'),
	priority: number(priorityRule, 'Higher goes first'),
	...limits,
};

const customerColumns: Columns<CustomerCells> = {
	key_sha256: text(
		'64 lower-case hexadecimal digits, used by no other customer',
		'SHA-256 of the customer’s bearer key',
	),
	...common,
};
const serviceColumns: Columns<ServiceCells> = {
	...common,
	idempotent_paths: text(
		pathsRule,
		'Prefixes of paths that are safe to repeat',
	),
	non_idempotent_paths: text(
		pathsRule,
		'Prefixes of paths that are never repeated',
	),
	timeout_ms: number(
		'a number above 0, at most 3600000',
		'Longest time of a call, in milliseconds',
	),
};
const modelColumns: Columns<ModelCells> = {
	...common,
	layers: number(
		'a whole number from 1 to 10000',
		'Layers of the model; without it the model is not served',
	),
	version: text('at most 100 characters', 'Version that is served'),
	max_tokens: number(
		'a whole number from 1 to 10000000',
		'Longest answer, in tokens',
	),
};

export const tableColumns: Readonly<
	Record<RowKind, Readonly<Record<string, TableColumn>>>
> = {
	customer: customerColumns,
	service: serviceColumns,
	model: modelColumns,
};

/** The columns of all kinds of rows, in the order of an export. */
export const columnNames: readonly string[] = [
	...new Set(
		Object.values(tableColumns).flatMap((columns) => Object.keys(columns)),
	),
];
