/**
 * What the answer of an engine to a streaming request means if it is not a stream,
 * and the writer of a stream to the caller.
 */
import type {AttemptOutcome, FailureSignal, PathStage} from 'bramleystage';
import type {AnswerHead} from './attempt.js';
import type {Call} from './call.js';
import {
	decideOwnOutcome,
	isOwnAnswer,
	isRefusal,
	isServerError,
	refusedStatus,
	replacedStatus,
} from './answer-status.js';
import {type CompleteEvents, isConsecutive} from './event-splitter.js';
import {
	type ForwardingContext,
	writeAnswerBytes,
	writeAnswerHead,
} from './answer-writer.js';
import type {HeaderPort} from './platform-port.js';

/** Bytes of a stream that wait in the process for its caller to read, beside the kernel's buffers. */
const maxUnreadBytes = 1024 * 1024;

/** An engine of the path that an answer shows to be at fault. */
export type FaultyStage = {
	readonly stage: PathStage;
	readonly sign: FailureSignal;
	/** Whether another engine named it in a refusal. */
	readonly isReported: boolean;
};

export type AnswerMeaning = {
	readonly outcome: AttemptOutcome | 'answered';
	readonly faulty?: FaultyStage;
};

/** Decides what a complete answer that is not a stream means. */
export function decideAnswerMeaning(
	{status, headers}: AnswerHead,
	path: readonly PathStage[],
	call: Call,
	headerPort: HeaderPort,
): AnswerMeaning {
	const metadata = headerPort.readAnswerHeaders(headers);
	const reported = path.find(({address}) => address === metadata.faultyAddress);
	const {request} = call.metadata;
	const isRefused = isRefusal(metadata, status, request);
	const isOwn = isOwnAnswer(metadata, request);
	const stage =
		reported ??
		(isRefused || !isOwn || isServerError(status) ? path[0] : undefined);
	const otherSign = isRefused ? 'refused' : 'failed';
	const faulty: FaultyStage | undefined = stage && {
		stage,
		sign: isRefused && status === replacedStatus ? 'replaced' : otherSign,
		isReported: reported !== undefined && status === refusedStatus,
	};
	if (isRefused) {
		return {outcome: 'notRun', faulty};
	}

	if (!isOwn) {
		return {outcome: 'unknown', faulty};
	}

	return {outcome: decideOwnOutcome(status), faulty};
}

/** Writes the events of one stream to its caller, in order and each once. */
export class StreamWriter {
	#lastEvent: string | undefined;
	#head: AnswerHead | undefined;
	readonly #held: Buffer[] = [];
	#heldBytes = 0;
	#eventCount = 0;

	constructor(
		private readonly call: Call,
		private readonly context: ForwardingContext,
		/** Whether nothing is written before the stream is whole. */
		private readonly isHeld: boolean,
	) {
		this.#lastEvent = call.metadata.lastEvent;
	}

	/** Id of the last event that the caller received. */
	get lastEvent(): string | undefined {
		return this.#lastEvent;
	}

	/** Number of events with ids that were written. */
	get eventCount(): number {
		return this.#eventCount;
	}

	/** Begins a stream with the head of its answer. */
	start(head: AnswerHead): void {
		this.#head = head;
		if (!this.isHeld) {
			writeAnswerHead(this.call, head, this.context);
		}
	}

	/** Ends a stream that is whole. */
	finish(): void {
		const {response} = this.call;
		if (this.isHeld && this.#head) {
			writeAnswerHead(this.call, this.#head, this.context);
			writeAnswerBytes(
				this.call,
				Buffer.concat(this.#held),
				this.context,
				false,
			);
		}

		response.end();
	}

	/** Whether the caller leaves too many bytes unread. */
	get isUnread(): boolean {
		const unreadBytes = this.call.response.writableLength + this.#heldBytes;
		return unreadBytes > maxUnreadBytes;
	}

	/** Writes complete events; returns false and writes nothing if they don't follow the last one. */
	tryWrite({bytes, ids, hasData}: CompleteEvents): boolean {
		const hasLostId =
			hasData && ids.length === 0 && this.#lastEvent !== undefined;
		if (hasLostId || !isConsecutive(this.#lastEvent, ids)) {
			return false;
		}

		this.#lastEvent = ids.at(-1) ?? this.#lastEvent;
		this.#eventCount += ids.length;
		if (this.isHeld) {
			this.#held.push(bytes);
			this.#heldBytes += bytes.length;
		} else {
			writeAnswerBytes(this.call, bytes, this.context, false);
		}

		return true;
	}

	/** Writes a complete answer that is not a stream. */
	writeWhole(head: AnswerHead, body: Buffer): void {
		writeAnswerHead(this.call, head, this.context, [
			['Content-Length', String(body.length)],
		]);
		writeAnswerBytes(this.call, body, this.context, true);
	}
}
