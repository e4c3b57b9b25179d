/**
 * Publishes an operator's edits of the table: appends an edit to the log, and
 * again if the append is found to be lost, until the process that publishes it
 * has folded the edit and so knows its outcome.
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

export type PublishEditOptions = {
	readonly platform: PlatformClient;
	/** Follower of the log in the process that publishes the edit. */
	readonly follower: TableFollower;
	readonly timeoutMs: number;
	readonly readClock: () => number;
};

/** Interval at which the follower is polled for a newer proof of completeness. */
const proofCheckIntervalMs = 50;

/**
 * Publishes one edit and returns its outcome; fails with `logUnavailable` if
 * that is not known within `timeoutMs`.
 */
export async function publishEdit(
	record: EditRecord,
	options: PublishEditOptions,
): Promise<Result<EditResult, Failure>> {
	const {platform, follower, timeoutMs, readClock} = options;
	return new Promise((resolve) => {
		let progress: EditProgress | undefined;
		const finish = (result: Result<EditResult, Failure>) => {
			clearInterval(proofTimer);
			clearTimeout(timeout);
			resultSubscription.unsubscribe();
			resolve(result);
		};

		const applyDecision = ([next, commands]: Decision<
			EditProgress,
			EditCommand
		>) => {
			progress = next;
			if (next.phase === 'settled') {
				finish(ok(next.result));
			} else if (commands.length > 0) {
				void append();
			}
		};

		const handleEvent = (event: EditEvent) => {
			if (progress) {
				applyDecision(decideEdit(progress, event, readClock()));
			}
		};

		const append = async () => {
			const appended = await platform.append(tableStream, record);
			handleEvent({type: appended.isOk() ? 'appended' : 'appendFailed'});
		};

		const resultSubscription = follower.editResults.subscribe((result) => {
			handleEvent({type: 'folded', result});
		});
		const proofTimer = setInterval(() => {
			const {provedCompleteAt} = follower;
			if (provedCompleteAt !== undefined) {
				handleEvent({type: 'tableComplete', at: provedCompleteAt});
			}
		}, proofCheckIntervalMs);
		const timeout = setTimeout(() => {
			const detail =
				'The log did not answer in time; the edit may still be accepted.';
			finish(err(createFailure('logUnavailable', detail)));
		}, timeoutMs);
		applyDecision(createEditProgress(record.edit));
	});
}
