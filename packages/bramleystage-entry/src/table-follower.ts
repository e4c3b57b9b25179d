/** Follows the table's stream of the platform's log and folds its records. */
import {
	createTable,
	foldRecord,
	type LifeCycle,
	type LogEvent,
	type Logger,
	type PlatformClient,
	type TableSnapshot,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';

export const tableStream = 'table';

export class TableFollower {
	readonly table = new BehaviorSubject<TableSnapshot>(createTable());
	#hasRead = false;

	constructor(
		platform: PlatformClient,
		lifeCycle: LifeCycle,
		private readonly logger: Logger,
	) {
		const following = platform
			.followRecords(tableStream, this.table.value.next)
			.subscribe((event) => {
				this.#apply(event);
			});
		lifeCycle.register(() => {
			following.unsubscribe();
		});
	}

	/** True once the log has been read to its end. */
	get hasRead(): boolean {
		return this.#hasRead;
	}

	#apply(event: LogEvent): void {
		if (event.type === 'failed') {
			this.logger.warn('table.read_failed', {detail: event.error.detail});
			return;
		}

		let table = this.table.value;
		for (const {offset, value} of event.batch.records) {
			const folded = foldRecord(table, offset, value);
			table = folded.table;
			this.logger.info('table.folded', {
				offset,
				edit: folded.result?.edit,
				accepted: folded.result?.accepted.length,
				refused: folded.result?.refused.length,
			});
		}

		this.#hasRead = true;
		this.table.next(table);
	}
}
