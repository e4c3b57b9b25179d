/** What the status and the headers of a backend server's answer mean for forwarding it. */
import {
	type AttemptOutcome,
	isNotRunStatus,
	type RequestId,
} from 'bramleystage';
import type {AnswerMetadata} from './platform-port.js';

/** Lowest status of a server's error. */
export const minErrorStatus = 500;
/** Status of a server that gave up at the request's deadline. */
const deadlineStatus = 504;
/** Status of a server that another one has replaced at its address. */
export const replacedStatus = 421;
/** Status of a server that refuses a request for now. */
export const refusedStatus = 503;
/** Whether a status shows trouble of the server, and not only that the time was over. */
export const isServerError = (status: number): boolean =>
	status >= minErrorStatus && status !== deadlineStatus;

/**
 * Decides what a server's own answer means that is no refusal. A status by which callers
 * learn that a request has not run shows nothing here: the server may have run it.
 */
export function decideOwnOutcome(status: number): AttemptOutcome | 'answered' {
	if (isNotRunStatus(status)) {
		return 'unknown';
	}

	return status >= minErrorStatus ? 'failed' : 'answered';
}

/** Whether an answer is to the given request and bears its server's stamp. */
export const isOwnAnswer = (
	{request, isStamped}: AnswerMetadata,
	id: RequestId,
): boolean => request === id && isStamped;

/**
 * Whether an answer promises that the given request has not run and will not run. A refusal
 * that names another request promises nothing for this one; a server that has not read the
 * request can't name it.
 */
export const isRefusal = (
	{request, isNotRun}: AnswerMetadata,
	status: number,
	id: RequestId,
): boolean =>
	(isNotRun || status === replacedStatus) &&
	(request === undefined || request === id);
