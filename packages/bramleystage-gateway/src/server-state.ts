/** What the answer of a backend server says about its further use. */
import type {SentRequest} from 'bramleystage';
import {refusedStatus} from './answer-status.js';
import type {AnswerMetadata} from './platform-port.js';
import type {RunContext} from './run-context.js';

/** Records that a server leaves, wants a pause, names a limit or reports its load. */
export function recordServerState(
	{fleet, limits}: Pick<RunContext, 'fleet' | 'limits'>,
	{id, sentAt}: SentRequest,
	{isLeaving, retryAfter, namedLimit, load}: AnswerMetadata,
	status: number,
): void {
	limits.recordAnswer(id, {text: namedLimit, sentAt});
	if (load) {
		fleet.costs.recordReport(id, load);
	}

	if (isLeaving) {
		fleet.recordLeaving(id);
	}

	if (status === refusedStatus && retryAfter !== undefined) {
		fleet.health.recordPause(id, retryAfter);
	}
}
