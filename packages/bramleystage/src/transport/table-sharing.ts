/**
 * The part of the table that a process passes on to peers: the records that
 * it folded last, and a snapshot for a peer that is further behind.
 */
import type {LogOffset} from '../protocol/ids.js';
import type {Message} from '../protocol/messages.js';
import type {TableRecords} from '../protocol/table-messages.js';
import type {TableSnapshot} from '../state/table.js';
import {createSnapshotParts} from '../state/table-snapshot.js';

type KeptRecord = TableRecords['records'][number];

const maxKeptRecords = 2000;
/** Records and their rows in one message, at most; one record always fits. */
const maxAnswerRows = 4000;

export class TableSharing {
	#kept: KeptRecord[] = [];

	/** Keeps a record that was folded just now. */
	append(record: KeptRecord): void {
		this.#kept.push(record);
		if (this.#kept.length > maxKeptRecords * 2) {
			this.#kept = this.#kept.slice(-maxKeptRecords);
		}
	}

	/** Forgets the records, after a snapshot took their place. */
	reset(): void {
		this.#kept = [];
	}

	/** Answers a peer that asks for the records from an offset on. */
	createAnswers(table: TableSnapshot, from: LogOffset): Message[] {
		if (from >= table.next) {
			return [];
		}

		const first = this.#kept[0]?.offset;
		if (first === undefined || first > from) {
			return createSnapshotParts(table).map((part) => ({
				type: 'tablePart',
				...part,
			}));
		}

		const records: KeptRecord[] = [];
		let rows = 0;
		for (const record of this.#kept.slice(from - first)) {
			rows += countRows(record.value);
			if (records.length > 0 && rows > maxAnswerRows) {
				break;
			}

			records.push(record);
		}

		return [{type: 'tableRecords', records}];
	}
}

function countRows(value: unknown): number {
	const {changes} = (value ?? {}) as {changes?: unknown};
	return Array.isArray(changes) ? changes.length + 1 : 1;
}
