/**
 * Replies to peers that request records of the table: with the most recently
 * folded records, or with a snapshot if the peer is further behind than these.
 */
import type {LogOffset} from '../protocol/ids.js';
import type {Message} from '../protocol/messages.js';
import type {TableRecords} from '../protocol/table-messages.js';
import type {TableSnapshot} from '../state/table.js';
import {createSnapshotParts} from '../state/table-snapshot.js';

type TableRecord = TableRecords['records'][number];

/**
 * Records that are kept, at least; the list is trimmed to this when it is twice
 * as long.
 */
const minKeptRecords = 2000;
/**
 * Maximum number of records plus their rows in one message; a single larger
 * record is still sent.
 */
const maxReplyRows = 4000;

export class RecentTableRecords {
	#records: TableRecord[] = [];

	/** Adds the record that was folded last. */
	append(record: TableRecord): void {
		this.#records.push(record);
		if (this.#records.length > minKeptRecords * 2) {
			this.#records = this.#records.slice(-minKeptRecords);
		}
	}

	/** Removes all records, after a snapshot replaced the table. */
	clear(): void {
		this.#records = [];
	}

	/**
	 * Creates the replies to a peer that requests the records from an offset on:
	 * none if it has them all, else one message of records or a snapshot in parts.
	 */
	createReplies(table: TableSnapshot, from: LogOffset): Message[] {
		if (from >= table.next) {
			return [];
		}

		const first = this.#records[0]?.offset;
		if (first === undefined || first > from) {
			return createSnapshotParts(table).map((part) => ({
				type: 'tablePart',
				...part,
			}));
		}

		const records: TableRecord[] = [];
		let rows = 0;
		for (const record of this.#records.slice(from - first)) {
			rows += countRows(record.value);
			if (records.length > 0 && rows > maxReplyRows) {
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
