/**
 * Specification of the table's fold. An author loses the response to an append
 * and appends the edit again, other authors' edits come in between, copies are
 * committed in any order, and two readers continue from the log or from each
 * other's snapshots.
 */
import {
	createSnapshotParts,
	createTable,
	editRecordSchema,
	findRowVersion,
	foldRecord,
	listSnapshotRows,
	restoreTable,
	rowKeySchema,
	type TableSnapshot,
	toLogOffset,
} from 'bramleystage';
import {
	recordViolation,
	createTransitionInvariant,
	type Model,
	type Invariant,
	type Specification,
	type Step,
} from './specification.js';

type FoldModelState = {
	readonly log: readonly unknown[];
	/** Index of the edit of each append that is not committed yet. */
	readonly pending: readonly number[];
	/** Number of appends of each edit so far. */
	readonly appended: readonly number[];
	readonly readers: readonly TableSnapshot[];
	/** Whether each reader has accepted or refused each edit. */
	readonly told: ReadonlyArray<Readonly<Record<string, string>>>;
	readonly broken: readonly string[];
};

type Mechanisms = {
	readonly fold: typeof foldRecord;
	readonly restore: (own: TableSnapshot, other: TableSnapshot) => TableSnapshot;
};

const maxAppends = 2;
const keyCells = Object.fromEntries([['key_sha256', 'a'.repeat(64)]]);
const firstRow = rowKeySchema.parse('customer/a');
const secondRow = rowKeySchema.parse('customer/b');

const createEdit = (
	edit: string,
	row: string,
	against: number | null,
	cells: Readonly<Record<string, string>> | null,
) =>
	editRecordSchema.parse({
		kind: 'edit',
		format: 1,
		edit,
		author: edit,
		at: '',
		changes: [{row, against, cells}],
	});

/** The record that the log contains initially. */
const initialRecord = createEdit('initial', firstRow, null, keyCells);
/**
 * The edits that are appended concurrently, all made against the initial
 * record.
 */
const edits = [
	createEdit('take key', secondRow, null, keyCells),
	createEdit('free key', firstRow, 0, null),
	createEdit('weigh', firstRow, 0, {weight: '2'}),
];

const invariants: ReadonlyArray<Invariant<FoldModelState>> = [
	createTransitionInvariant(
		'versions-grow',
		'No reader’s table goes back to an earlier offset.',
	),
	createTransitionInvariant(
		'conflict-refused',
		'No edit changes a row that has changed since its author read it.',
	),
	createTransitionInvariant(
		'fate-is-final',
		'An edit that was refused or accepted is not accepted again by a later copy.',
	),
	{
		name: 'readers-agree',
		description:
			'Readers that have folded the same number of records have the same table.',
		holds({readers}) {
			const [a, b] = readers;
			return a?.next !== b?.next || formatTable(a) === formatTable(b);
		},
	},
];

function restoreNewer(own: TableSnapshot, other: TableSnapshot): TableSnapshot {
	return other.next > own.next
		? (restoreTable(createSnapshotParts(other)) ?? own)
		: own;
}

/** Creates the mechanisms, without the one behind the omitted invariant. */
function createMechanisms(omitted: string | undefined): Mechanisms {
	const defaultMechanisms: Mechanisms = {
		fold: foldRecord,
		restore: restoreNewer,
	};
	switch (omitted) {
		case 'versions-grow': {
			return {...defaultMechanisms, restore: (_own, other) => other};
		}

		case 'conflict-refused': {
			const fold: typeof foldRecord = (table, offset, record) =>
				foldRecord(table, offset, updateVersions(table, record));
			return {...defaultMechanisms, fold};
		}

		case 'fate-is-final': {
			const fold: typeof foldRecord = (table, offset, record) =>
				foldRecord({...table, edits: createTable().edits}, offset, record);
			return {...defaultMechanisms, fold};
		}

		case 'readers-agree': {
			// Restores a snapshot without its removed rows.
			const restore: Mechanisms['restore'] = (own, other) => ({
				...restoreNewer(own, other),
				removed: createTable().removed,
			});
			return {...defaultMechanisms, restore};
		}

		default: {
			return defaultMechanisms;
		}
	}
}

function updateVersions(table: TableSnapshot, record: unknown): unknown {
	const edit = editRecordSchema.parse(record);
	const changes = edit.changes.map((change) => ({
		...change,
		against: findRowVersion(table, change.row),
	}));
	return {...edit, changes};
}

function createModel(mechanisms: Mechanisms): Model<FoldModelState> {
	const {table} = foldRecord(createTable(), toLogOffset(0), initialRecord);
	return {
		name: `${edits.length} edits of two rows, ${maxAppends} copies, 2 readers`,
		initial: {
			log: [initialRecord],
			pending: [],
			appended: edits.map(() => 0),
			readers: [table, table],
			told: [{}, {}],
			broken: [],
		},
		listSteps: (state) => [
			...listAppendSteps(state),
			...listCommitSteps(state),
			...state.readers.flatMap((_, index) =>
				listReaderSteps(state, mechanisms, index),
			),
		],
		encodeState: ({readers, ...rest}) =>
			JSON.stringify(rest) + readers.map((each) => formatTable(each)).join(''),
	};
}

const listAppendSteps = (state: FoldModelState): Array<Step<FoldModelState>> =>
	edits.flatMap(({edit}, index) => {
		const copies = state.appended[index] ?? 0;
		return copies < (index === 0 ? maxAppends : 1)
			? [
					{
						label: `append "${edit}"`,
						next: {
							...state,
							pending: [...state.pending, index].toSorted((a, b) => a - b),
							appended: state.appended.with(index, copies + 1),
						},
					},
				]
			: [];
	});

const listCommitSteps = (state: FoldModelState): Array<Step<FoldModelState>> =>
	state.pending.map((index, position) => ({
		label: `"${edits[index]?.edit}" is committed`,
		next: {
			...state,
			pending: state.pending.toSpliced(position, 1),
			log: [...state.log, edits[index]],
		},
	}));

function listReaderSteps(
	state: FoldModelState,
	mechanisms: Mechanisms,
	index: number,
): Array<Step<FoldModelState>> {
	const own = state.readers[index]!;
	const other = state.readers[1 - index]!;
	const steps: Array<Step<FoldModelState>> = [];
	if (own.next < state.log.length) {
		steps.push({
			label: `reader ${index} folds record ${own.next}`,
			next: foldNextRecord(state, mechanisms, index),
		});
	}

	const restored = mechanisms.restore(own, other);
	if (restored !== own) {
		const next = {
			...state,
			readers: state.readers.with(index, restored),
		};
		steps.push({
			label: `reader ${index} restores the other’s snapshot`,
			next:
				restored.next < own.next
					? recordViolation(next, 'versions-grow')
					: next,
		});
	}

	return steps;
}

function foldNextRecord(
	state: FoldModelState,
	{fold}: Mechanisms,
	index: number,
): FoldModelState {
	const own = state.readers[index]!;
	const record = editRecordSchema.parse(state.log[own.next]);
	const {table, result} = fold(own, own.next, record);
	const next = {...state, readers: state.readers.with(index, table)};
	if (!result) {
		return next;
	}

	const isAccepted = result.accepted.length > 0;
	const earlierOutcome = state.told[index]?.[record.edit];
	const isConflicting = record.changes.some(
		({row, against}) => findRowVersion(own, row) !== against,
	);
	const outcomes = {
		...state.told[index],
		[record.edit]: isAccepted ? 'accepted' : 'refused',
	};
	const recorded = {...next, told: state.told.with(index, outcomes)};
	const checked =
		isAccepted && isConflicting
			? recordViolation(recorded, 'conflict-refused')
			: recorded;
	return isAccepted && earlierOutcome !== undefined
		? recordViolation(checked, 'fate-is-final')
		: checked;
}

function formatTable(table: TableSnapshot | undefined): string {
	return table
		? JSON.stringify([
				table.next,
				listSnapshotRows(table),
				[...table.edits].toSorted(([, a], [, b]) => a - b),
			])
		: '';
}

export const foldSpecification: Specification<FoldModelState> = {
	name: 'fold',
	description:
		'The fold of the table, with snapshots and edits that are appended again',
	invariants,
	createModels: (_size, omitted) => [createModel(createMechanisms(omitted))],
};
