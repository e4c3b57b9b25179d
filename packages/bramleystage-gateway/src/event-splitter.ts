/** Cuts a `text/event-stream` into whole events, so that none is passed on in part. */

const separator = Buffer.from('\n\n');

export type WholeEvents = {
	readonly bytes: Buffer;
	/** Ids of the events, in order; an event without an id has none here. */
	readonly ids: readonly string[];
};

export class EventSplitter {
	#pending: Buffer = Buffer.alloc(0);

	/** Whether bytes of an event that is not whole wait here. */
	get hasPartial(): boolean {
		return this.#pending.length > 0;
	}

	/** Takes the next bytes; gives the events that are whole now, if any. */
	append(chunk: Buffer): WholeEvents | undefined {
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
		const whole = bytes.subarray(0, end);
		return {bytes: whole, ids: listEventIds(whole)};
	}
}

function listEventIds(events: Buffer): string[] {
	return [...events.toString('latin1').matchAll(/^id: ?(.*)$/gmv)].map(
		(match) => match[1] ?? '',
	);
}
