/** Text formats of the table subcommands: changes, conflicts, history and lagging processes. */
import type {
	CellChange,
	HistoryEntry,
	ProcessOffset,
	RowChange,
	RowConflict,
	TableSnapshot,
} from 'bramleystage';

/** Formats a cell; an empty cell becomes a dash. */
const formatCell = (value: string) => (value === '' ? '-' : value);

const formatCellChange = ({column, before, after}: CellChange) =>
	`  ${column}: ${formatCell(before)} -> ${formatCell(after)}`;

/** Formats a change as a title line with the row and one line for each cell. */
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

/** Formats a conflict with the values of both authors for each cell. */
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

/** Formats one row change of the history with its outcome and cells. */
export function formatHistoryEntry(entry: HistoryEntry): string {
	const {offset, at, author, row, outcome, cells} = entry;
	const title = `${offset} ${at} ${author}: ${row} ${outcome}`;
	return [title, ...cells.map((cell) => formatCellChange(cell))].join('\n');
}

/** Formats a process that has not folded an edit yet, with its offset if that is known. */
export const formatLagging = ({host, next}: ProcessOffset) =>
	next === undefined ? `  ${host}: not heard` : `  ${host}: at offset ${next}`;
