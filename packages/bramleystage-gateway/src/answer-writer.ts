/** Writes backend servers' answers to callers. */
import {type HeaderPairs, writeForwardedHead} from 'bramleystage';
import type {AnswerHead} from './attempt.js';
import type {Call} from './call.js';
import type {RequestRecorder} from './request-recorder.js';
import {UnreadAnswers} from './unread-answers.js';

export type ForwardingContext = {
	readonly isStopping: () => boolean;
	readonly recorder: Pick<
		RequestRecorder,
		'recordOmittedHeaders' | 'recordUnreadAnswer'
	>;
};

const unreadAnswers = new UnreadAnswers();

/**
 * Writes the head of an answer. Its own length is left out: the body is written with
 * the length that is added, or in chunks, as a stream may go on at another engine.
 */
export function writeAnswerHead(
	call: Call,
	{status, headers}: AnswerHead,
	{isStopping, recorder}: ForwardingContext,
	added: HeaderPairs = [],
): void {
	const omitted = writeForwardedHead(
		call.response,
		status,
		headers.filter(([name]) => name.toLowerCase() !== 'content-length'),
		[...added, ...(isStopping() ? [['Connection', 'close'] as const] : [])],
	);
	if (omitted.length > 0) {
		recorder.recordOmittedHeaders(call, omitted);
	}
}

/** Writes bytes of an answer whose head has been written, and ends it with the last ones. */
export function writeAnswerBytes(
	{response}: Call,
	bytes: Buffer,
	{recorder}: ForwardingContext,
	isLast: boolean,
): void {
	if (isLast) {
		response.end(bytes);
	} else {
		response.write(bytes);
	}

	unreadAnswers.record(response, (unreadBytes) => {
		recorder.recordUnreadAnswer(unreadBytes);
	});
}
