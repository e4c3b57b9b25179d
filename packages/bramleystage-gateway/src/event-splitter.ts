/**
 * Splits a `text/event-stream` into complete events, so that none is forwarded in
 * part, and bounds what a server may send. The time grows with the bytes alone:
 * bytes of an incomplete event are searched once.
 */
import {GrowingBuffer} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import {pieceCostBytes} from './held-answers.js';

/** Bytes of one event, and bytes of comments between two events with data. */
const maxEventBytes = 256 * 1024;
/** Bytes of a whole stream, with the costs of its pieces. */
const maxStreamBytes = 16 * 1024 * 1024;

/** Ids that a later attempt can name in a header. */
const idPattern = /^[ -~]{0,256}$/v;

/** A line that is neither empty, a comment nor a field. */
const foreignLine = /^(?!:|[a-z][\-a-z]*(?::|\r?$)|\r?$)/mv;

const separator = Buffer.from('\n\n');
const lineFeed = 0x0a;

export type CompleteEvents = {
	readonly bytes: Buffer;
	/** Ids of the events, in order; events without an id are left out. */
	readonly ids: readonly string[];
	/** Whether an event carries data; a comment that keeps the connection open does not. */
	readonly hasData: boolean;
	/** Whether a line is neither a field nor a comment, so that the bytes are no events. */
	readonly hasForeignLine: boolean;
};

export class EventSplitter {
	readonly #pending = new GrowingBuffer();
	/** Bytes of complete events since the last one with data. */
	#commentBytes = 0;
	#streamBytes = 0;

	/** Whether bytes of an incomplete event are buffered. */
	get hasPartial(): boolean {
		return this.#pending.length > 0;
	}

	/**
	 * Appends the next bytes; returns the events that are now complete, undefined
	 * if there are none, or which bound the stream exceeds.
	 */
	append(chunk: Buffer): Result<CompleteEvents | undefined, string> {
		this.#streamBytes += chunk.length + pieceCostBytes;
		const end = this.#findEnd(chunk);
		const events = end === 0 ? undefined : this.#takeEvents(chunk, end);
		if (end < chunk.length) {
			this.#pending.append(chunk.subarray(end));
		}

		if (events && !events.ids.every((id) => idPattern.test(id))) {
			return err('The id of an event is not printable text.');
		}

		if (events?.hasForeignLine) {
			return err('A line is no field of an event.');
		}

		return this.#checkBounds().map(() => events);
	}

	/** Finds where the last complete event ends in the chunk; 0 if none does. */
	#findEnd(chunk: Buffer): number {
		const last = chunk.lastIndexOf(separator);
		if (last !== -1) {
			return last + separator.length;
		}

		const isSplitSeparator =
			this.#pending.bytes.at(-1) === lineFeed && chunk[0] === lineFeed;
		return isSplitSeparator ? 1 : 0;
	}

	#takeEvents(chunk: Buffer, end: number): CompleteEvents {
		this.#pending.append(chunk.subarray(0, end));
		const bytes = this.#pending.take();
		const text = bytes.toString('latin1');
		const hasData = /^data:/mv.test(text);
		this.#commentBytes = hasData ? 0 : this.#commentBytes + bytes.length;
		return {
			bytes,
			ids: listEventIds(text),
			hasData,
			hasForeignLine: foreignLine.test(text),
		};
	}

	#checkBounds(): Result<void, string> {
		if (this.#pending.length > maxEventBytes) {
			return err(`An event is over ${maxEventBytes} bytes.`);
		}

		if (this.#commentBytes > maxEventBytes) {
			return err(`Over ${maxEventBytes} bytes came without an event.`);
		}

		return this.#streamBytes > maxStreamBytes
			? err(`The stream is over ${maxStreamBytes} bytes.`)
			: ok();
	}
}

function listEventIds(events: string): string[] {
	return [...events.matchAll(/^id: ?(.*)$/gmv)].map((match) => match[1] ?? '');
}

/** Whether numbered events follow the last one without a gap or a repetition. */
export function isConsecutive(
	lastId: string | undefined,
	ids: readonly string[],
): boolean {
	let last = lastId;
	for (const id of ids) {
		const isNext = last === undefined || Number(id) === Number(last) + 1;
		if (!isNext && !Number.isNaN(Number(id))) {
			return false;
		}

		last = id;
	}

	return true;
}
