/** Validates rows against the rules of the table's columns and collects all errors. */
import {tableColumns} from '../protocol/table-columns.js';
import {
	cellSchemas,
	nameSchemas,
	type RowKey,
	rowKeySchema,
} from '../protocol/table-schema.js';
import {parseRowKey, type RowCells} from './table-view.js';

/** One value that breaks a rule. */
export type TableError = {
	/** Key of the row, or its position in a file. */
	readonly row: string;
	readonly column: string;
	readonly value: string;
	readonly rule: string;
};

/** Formats an error as one line. */
export const formatTableError = ({row, column, value, rule}: TableError) =>
	`${row}: ${column} is ${JSON.stringify(value)}, but must be ${rule}`;

/** Validates a row's key; returns it in composed Unicode form (NFC), or the error. */
export function validateRowKey(key: string): RowKey | TableError {
	const parsed = rowKeySchema.safeParse(key.trim().normalize('NFC'));
	if (parsed.success) {
		const {kind, name} = parseRowKey(parsed.data);
		if (name.trim() === name && nameSchemas[kind].safeParse(name).success) {
			return parsed.data;
		}
	}

	const rule =
		'customer/, service/ or model/ and a name of 1 to 200 characters';
	return {row: key, column: 'name', value: key, rule};
}

/** Validates the cells of one row. */
export function validateCells(row: RowKey, cells: RowCells): TableError[] {
	const {kind} = parseRowKey(row);
	const columns = tableColumns[kind];
	return Object.entries(cells).flatMap(([column, value]) => {
		const known = columns[column];
		if (!known) {
			const rule = `empty: a ${kind} has no such column`;
			return value === '' ? [] : [{row, column, value, rule}];
		}

		const isValid = cellSchemas[kind].safeParse({[column]: value}).success;
		const hint =
			known.isNumber && /^-?\d+,\d+$/v.test(value.trim())
				? `; write ${value.trim().replace(',', '.')} with a point`
				: '';
		return isValid ? [] : [{row, column, value, rule: known.rule + hint}];
	});
}
