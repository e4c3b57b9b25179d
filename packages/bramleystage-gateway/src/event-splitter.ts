/** Splits a `text/event-stream` into complete events, so that none is forwarded in part. */

const separator = Buffer.from('\n\n');

export type CompleteEvents = {
	readonly bytes: Buffer;
	/** Ids of the events, in order; events without an id are left out. */
	readonly ids: readonly string[];
	/** Whether an event carries data; a comment that keeps the connection open does not. */
	readonly hasData: boolean;
};

export class EventSplitter {
	#pending: Buffer = Buffer.alloc(0);

	/** Whether bytes of an incomplete event are buffered. */
	get hasPartial(): boolean {
		return this.#pending.length > 0;
	}

	/** Appends the next bytes; returns the events that are now complete, or undefined if there are none. */
	append(chunk: Buffer): CompleteEvents | undefined {
		const bytes =
			this.#pending.length === 0
				? chunk
				: Buffer.concat([this.#pending, chunk]);
		const last = bytes.lastIndexOf(separator);
		if (last === -1) {
			this.#pending = bytes;
			return undefined;
		}

		const end = last + separator.length;
		this.#pending = bytes.subarray(end);
		const complete = bytes.subarray(0, end);
		const text = complete.toString('latin1');
		return {
			bytes: complete,
			ids: listEventIds(text),
			hasData: /^data:/mv.test(text),
		};
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
