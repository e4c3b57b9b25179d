/**
 * The fold of the table: an author whose append's answer is lost and who
 * appends again, another author whose edit comes between, copies that land in
 * any order, and two readers that go on from the log or from each other's
 * snapshots.
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
	addBroken,
	createStepRule,
	type Model,
	type Rule,
	type Specification,
	type Step,
} from './specification.js';

type FoldModelState = {
	readonly log: readonly unknown[];
	/** Copies of edits that are under way, by edit. */
	readonly pending: readonly number[];
	/** Appends of each edit so far. */
	readonly appended: readonly number[];
	readonly readers: readonly TableSnapshot[];
	/** What each reader was told of each edit: its rows accepted or refused. */
	readonly told: ReadonlyArray<Readonly<Record<string, string>>>;
	readonly broken: readonly string[];
};

type Mechanisms = {
	readonly fold: typeof foldRecord;
	readonly restore: (own: TableSnapshot, other: TableSnapshot) => TableSnapshot;
};

const maxAppends = 2;
const withKey = Object.fromEntries([['key_sha256', 'a'.repeat(64)]]);
const first = rowKeySchema.parse('customer/a');
const second = rowKeySchema.parse('customer/b');

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

/** The record that is in the log already, and the edits made after it. */
const initialRecord = createEdit('initial', first, null, withKey);
const edits = [
	createEdit('take key', second, null, withKey),
	createEdit('free key', first, 0, null),
	createEdit('weigh', first, 0, {weight: '2'}),
];

const rules: ReadonlyArray<Rule<FoldModelState>> = [
	createStepRule('versions-grow', 'No reader’s table gets shorter.'),
	createStepRule(
		'conflict-refused',
		'No edit changes a row that was changed since its author saw it.',
	),
	createStepRule(
		'fate-is-final',
		'An edit that was refused is not accepted by a later copy, nor twice.',
	),
	{
		name: 'readers-agree',
		description: 'Readers that have folded as many records have one table.',
		holds({readers}) {
			const [a, b] = readers;
			return a?.next !== b?.next || formatTable(a) === formatTable(b);
		},
	},
];

function restoreLonger(
	own: TableSnapshot,
	other: TableSnapshot,
): TableSnapshot {
	return other.next > own.next
		? (restoreTable(createSnapshotParts(other)) ?? own)
		: own;
}

/** The mechanisms with that of one rule left out. */
function createMechanisms(broken: string | undefined): Mechanisms {
	const whole: Mechanisms = {fold: foldRecord, restore: restoreLonger};
	switch (broken) {
		case 'versions-grow': {
			return {...whole, restore: (_own, other) => other};
		}

		case 'conflict-refused': {
			const fold: typeof foldRecord = (table, offset, record) =>
				foldRecord(table, offset, updateVersions(table, record));
			return {...whole, fold};
		}

		case 'fate-is-final': {
			const fold: typeof foldRecord = (table, offset, record) =>
				foldRecord({...table, edits: createTable().edits}, offset, record);
			return {...whole, fold};
		}

		case 'readers-agree': {
			// A snapshot without the rows that were removed.
			const restore: Mechanisms['restore'] = (own, other) => ({
				...restoreLonger(own, other),
				removed: createTable().removed,
			});
			return {...whole, restore};
		}

		default: {
			return whole;
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
			...listLandSteps(state),
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

const listLandSteps = (state: FoldModelState): Array<Step<FoldModelState>> =>
	state.pending.map((index, position) => ({
		label: `"${edits[index]?.edit}" lands`,
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
			next: foldNext(state, mechanisms, index),
		});
	}

	const restored = mechanisms.restore(own, other);
	if (restored !== own) {
		const next = {
			...state,
			readers: state.readers.with(index, restored),
		};
		steps.push({
			label: `reader ${index} takes the other’s snapshot`,
			next: restored.next < own.next ? addBroken(next, 'versions-grow') : next,
		});
	}

	return steps;
}

function foldNext(
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
	const known = state.told[index]?.[record.edit];
	const isLate = record.changes.some(
		({row, against}) => findRowVersion(own, row) !== against,
	);
	const told = {
		...state.told[index],
		[record.edit]: isAccepted ? 'accepted' : 'refused',
	};
	const recorded = {...next, told: state.told.with(index, told)};
	const checked =
		isAccepted && isLate ? addBroken(recorded, 'conflict-refused') : recorded;
	return isAccepted && known !== undefined
		? addBroken(checked, 'fate-is-final')
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
	description: 'The fold of the table, its snapshots and repeated edits',
	rules,
	createModels: (_size, broken) => [createModel(createMechanisms(broken))],
};
