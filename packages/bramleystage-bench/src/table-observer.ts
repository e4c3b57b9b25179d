/** Observes a process's table: when it applied which log offset, and whether its state ever went back. */
import {
	computeTableDigest,
	createTable,
	type LogOffset,
	type TableSnapshot,
} from 'bramleystage';
import type {Observable} from 'rxjs';

/** Number of emitted tables between two checks of all rows. */
const rowCheckInterval = 20;

/** Tracks the table of one process over time. */
export class TableObserver {
	/** The next offset of each emitted table, and when it was emitted; in order. */
	readonly #progress: Array<{next: number; at: number}> = [];
	#latest: TableSnapshot = createTable();
	#lastChecked: TableSnapshot = createTable();
	#reverts = 0;

	constructor(
		tables: Observable<TableSnapshot>,
		private readonly readClock: () => number,
	) {
		tables.subscribe((table) => {
			this.#record(table);
		});
	}

	/** How often the offset or a row's version went back. */
	get reverts(): number {
		return this.#reverts;
	}

	get next(): LogOffset {
		return this.#latest.next;
	}

	get digest(): string {
		return computeTableDigest(this.#latest);
	}

	get table(): TableSnapshot {
		return this.#latest;
	}

	/** Returns when this process applied the record at an offset; Infinity if it hasn't yet. */
	findAppliedAt(offset: LogOffset): number {
		let low = 0;
		let high = this.#progress.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((this.#progress[middle]?.next ?? 0) > offset) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return this.#progress[low]?.at ?? Number.POSITIVE_INFINITY;
	}

	/** Counts a revert for each row whose version is lower than at the last check. */
	#checkRows(table: TableSnapshot): void {
		for (const [row, {version}] of this.#lastChecked.rows) {
			const currentVersion =
				table.rows.get(row)?.version ?? table.removed.get(row) ?? -1;
			if (currentVersion < version) {
				this.#reverts++;
			}
		}

		this.#lastChecked = table;
	}

	#record(table: TableSnapshot): void {
		if (table.next < this.#latest.next) {
			this.#reverts++;
		}

		if (this.#progress.length % rowCheckInterval === 0) {
			this.#checkRows(table);
		}

		this.#latest = table;
		this.#progress.push({next: table.next, at: this.readClock()});
	}
}
