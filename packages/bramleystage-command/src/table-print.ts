/** What the table subcommands print: differences, conflicts, history. */
import type {
	CellChange,
	HistoryEntry,
	ProcessOffset,
	RowChange,
	RowConflict,
	TableSnapshot,
} from 'bramleystage';

/** Formats a cell; an empty one is shown as a dash. */
const formatCell = (value: string) => (value === '' ? '-' : value);

const formatCellChange = ({column, before, after}: CellChange) =>
	`  ${column}: ${formatCell(before)} -> ${formatCell(after)}`;

/** Formats a change as the row and a line for each cell. */
export function formatChange(
	{row, cells}: RowChange,
	table: TableSnapshot,
): string {
	const before = table.rows.get(row)?.cells ?? {};
	if (cells === null) {
		return `${row}: removed`;
	}

	const title = table.rows.has(row) ? row : `${row}: new`;
	const lines = Object.entries(cells).map(([column, after]) =>
		formatCellChange({column, before: before[column] ?? '', after}),
	);
	return [title, ...lines].join('\n');
}

/** Formats a conflict cell by cell with both authors. */
export function formatConflict(conflict: RowConflict, author: string): string {
	const {row, theirAuthor, cells} = conflict;
	if (conflict.isRemovedByThem) {
		return `${row}: was removed by somebody else`;
	}

	const title = `${row}: was changed by ${theirAuthor}`;
	const lines = conflict.isRemovedByMe
		? [`  ${author} removes the row`]
		: cells.map(
				({column, theirs, mine}) =>
					`  ${column}: ${theirAuthor} has ${formatCell(theirs)}, ${author} wants ${formatCell(mine)}`,
			);
	return [title, ...lines].join('\n');
}

/** Formats a row of an edit for the history. */
export function formatHistoryEntry(entry: HistoryEntry): string {
	const {offset, at, author, row, outcome, cells} = entry;
	const title = `${offset} ${at} ${author}: ${row} ${outcome}`;
	return [title, ...cells.map((cell) => formatCellChange(cell))].join('\n');
}

/** Formats a process that lags. */
export const formatLagging = ({host, next}: ProcessOffset) =>
	next === undefined ? `  ${host}: not heard` : `  ${host}: at offset ${next}`;
