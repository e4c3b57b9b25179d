/**
 * Schemas of the operators' table, which has one row for each customer, service
 * or model, with columns by kind. Cells are text as written in a spreadsheet;
 * the schemas convert a row's cells to typed values. docs/TABLE.md lists the same
 * columns for operators.
 */
import * as z from 'zod';
import {
	customerIdSchema,
	editIdSchema,
	logOffsetSchema,
	modelNameSchema,
	serviceNameSchema,
} from './ids.js';

/** Digits with an optional sign and decimal point; no exponent, grouping or comma. */
const numberPattern = /^-?\d{1,15}(?:\.\d{1,9})?$/v;

const parseNumber = (value: string) =>
	numberPattern.test(value) ? Number(value) : Number.NaN;

const optionalNumber = (schema: z.ZodType<number, number>) =>
	z
		.string()
		.trim()
		.transform((value) => (value === '' ? undefined : parseNumber(value)))
		.pipe(schema.optional())
		.optional();

const weight = optionalNumber(z.number().positive().max(1_000_000));
const limit = optionalNumber(z.number().min(0).max(1_000_000_000));
const priority = optionalNumber(z.int().min(0).max(9));
const pathList = z
	.string()
	.default('')
	.transform((value) => value.split(/\s+/v).filter((item) => item !== ''));

const limits = {
	requests_per_second: limit,
	tokens_per_second: limit,
	concurrent: limit,
};

/** Cells of a customer's row; `key_sha256` is the digest of its bearer key. */
export const customerCellsSchema = z.strictObject({
	key_sha256: z
		.string()
		.regex(/^([\da-f]{64})?$/v, 'must be 64 lower-case hexadecimal digits')
		.default(''),
	weight,
	priority,
	...limits,
});

/** Cells of a plain service's row; its paths are prefixes separated by spaces. */
export const serviceCellsSchema = z.strictObject({
	weight,
	priority,
	idempotent_paths: pathList,
	non_idempotent_paths: pathList,
	timeout_ms: optionalNumber(z.number().positive().max(3_600_000)),
	...limits,
});

/** Cells of a model's row. */
export const modelCellsSchema = z.strictObject({
	weight,
	priority,
	layers: optionalNumber(z.int().min(1).max(10_000)),
	version: z.string().trim().max(100).default(''),
	max_tokens: optionalNumber(z.int().min(1).max(10_000_000)),
	...limits,
});

export const rowKindSchema = z.enum(['customer', 'service', 'model']);
export type RowKind = z.infer<typeof rowKindSchema>;

export const cellSchemas = {
	customer: customerCellsSchema,
	service: serviceCellsSchema,
	model: modelCellsSchema,
} as const;

export const nameSchemas = {
	customer: customerIdSchema,
	service: serviceNameSchema,
	model: modelNameSchema,
} as const;

export type CustomerCells = z.infer<typeof customerCellsSchema>;
export type ServiceCells = z.infer<typeof serviceCellsSchema>;
export type ModelCells = z.infer<typeof modelCellsSchema>;

/** Key of a row, such as `customer/kaleli-gates`. */
export const rowKeySchema = z
	.string()
	.regex(/^(customer|service|model)\/.{1,200}$/v)
	.brand<'RowKey'>();
export type RowKey = z.infer<typeof rowKeySchema>;

/** Change of one row within an edit, based on the row version that its author saw. */
export const rowChangeSchema = z.object({
	row: rowKeySchema,
	/** Offset of the record that last changed the row; null for a new row. */
	against: logOffsetSchema.nullable(),
	/** Changed cells; null removes the row. */
	cells: z.record(z.string().max(100), z.string().max(10_000)).nullable(),
});
export type RowChange = z.infer<typeof rowChangeSchema>;

/** A record of the table's stream in the log. */
export const editRecordSchema = z.object({
	kind: z.literal('edit'),
	format: z.literal(1),
	edit: editIdSchema,
	author: z.string().max(200),
	/** Time of the edit on the author's clock, ISO 8601; used only in the change history. */
	at: z.string().max(40),
	changes: z.array(rowChangeSchema).min(1).max(50_000),
});
export type EditRecord = z.infer<typeof editRecordSchema>;
