/** What the table bench sees of every process: when it reached which offset, and whether anything reverted. */
import {
	computeTableDigest,
	createTable,
	type LogOffset,
	type TableSnapshot,
} from 'bramleystage';
import type {Observable} from 'rxjs';

/** Emissions between two checks of all rows. */
const rowCheckInterval = 20;

/** The course of one process's table. */
export class TableWatch {
	/** Moments at which the offset grew, in order. */
	readonly #reached: Array<{next: number; at: number}> = [];
	#last: TableSnapshot = createTable();
	#checked: TableSnapshot = createTable();
	#reverts = 0;

	constructor(
		tables: Observable<TableSnapshot>,
		private readonly readClock: () => number,
	) {
		tables.subscribe((table) => {
			this.#record(table);
		});
	}

	/** Times that the offset or a row's version went back. */
	get reverts(): number {
		return this.#reverts;
	}

	get next(): LogOffset {
		return this.#last.next;
	}

	get digest(): string {
		return computeTableDigest(this.#last);
	}

	get table(): TableSnapshot {
		return this.#last;
	}

	/** When this process had folded the record at an offset; Infinity if not yet. */
	findReached(offset: LogOffset): number {
		let low = 0;
		let high = this.#reached.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this.#reached[middle]?.next ?? 0) > offset) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return this.#reached[low]?.at ?? Number.POSITIVE_INFINITY;
	}

	/** Compares the rows' versions with those of the last check. */
	#checkRows(table: TableSnapshot): void {
		for (const [row, {version}] of this.#checked.rows) {
			const now = table.rows.get(row)?.version ?? table.removed.get(row) ?? -1;
			if (now < version) {
				this.#reverts++;
			}
		}

		this.#checked = table;
	}

	#record(table: TableSnapshot): void {
		if (table.next < this.#last.next) {
			this.#reverts++;
		}

		if (this.#reached.length % rowCheckInterval === 0) {
			this.#checkRows(table);
		}

		this.#last = table;
		this.#reached.push({next: table.next, at: this.readClock()});
	}
}
