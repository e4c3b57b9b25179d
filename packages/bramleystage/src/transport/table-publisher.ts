/**
 * Publishes edits of the table for an operator: appends each to the log and
 * follows it until the author's own fold says what became of it.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Decision} from '../protocol/decision.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import type {EditRecord} from '../protocol/table-schema.js';
import {
	createEditProgress,
	decideEdit,
	type EditCommand,
	type EditEvent,
	type EditProgress,
} from '../state/edit-progress.js';
import type {EditResult} from '../state/table.js';
import type {PlatformClient} from './platform-client.js';
import type {TableFollower} from './table-follower.js';
import {tableStream} from './table-log-reader.js';

export type PublishOptions = {
	readonly platform: PlatformClient;
	/** The author's own fold of the log. */
	readonly follower: TableFollower;
	readonly timeoutMs: number;
	readonly readClock: () => number;
};

const proofIntervalMs = 50;

/** Publishes one edit; fails with `logUnavailable` if its fate is not known in time. */
export async function publishEdit(
	record: EditRecord,
	options: PublishOptions,
): Promise<Result<EditResult, Failure>> {
	const {platform, follower, timeoutMs, readClock} = options;
	return new Promise((resolve) => {
		let progress: EditProgress | undefined;
		const finish = (result: Result<EditResult, Failure>) => {
			clearInterval(proving);
			clearTimeout(timer);
			folding.unsubscribe();
			resolve(result);
		};

		const step = ([next, commands]: Decision<EditProgress, EditCommand>) => {
			progress = next;
			if (next.phase === 'settled') {
				finish(ok(next.result));
			} else if (commands.length > 0) {
				void append();
			}
		};

		const handle = (event: EditEvent) => {
			if (progress) {
				step(decideEdit(progress, event, readClock()));
			}
		};

		const append = async () => {
			const appended = await platform.append(tableStream, record);
			handle({type: appended.isOk() ? 'appended' : 'appendFailed'});
		};

		const folding = follower.results.subscribe((result) => {
			handle({type: 'folded', result});
		});
		const proving = setInterval(() => {
			const {provedAt} = follower;
			if (provedAt !== undefined) {
				handle({type: 'proved', at: provedAt});
			}
		}, proofIntervalMs);
		const timer = setTimeout(() => {
			const detail =
				'The log did not answer in time; the edit may still be accepted.';
			finish(err(createFailure('logUnavailable', detail)));
		}, timeoutMs);
		step(createEditProgress(record.edit));
	});
}
