/**
 * Counts what a process sends on its sessions, control apart from the data of
 * requests. Frames that name a request are data; all others are control.
 */
import type {Message} from '../protocol/messages.js';

/** Frames and bytes sent since the start. */
export type TrafficCount = {readonly frames: number; readonly bytes: number};

export class TrafficMeter {
	#control: TrafficCount = {frames: 0, bytes: 0};
	#data: TrafficCount = {frames: 0, bytes: 0};

	get control(): TrafficCount {
		return this.#control;
	}

	get data(): TrafficCount {
		return this.#data;
	}

	/** Counts one frame of a number of bytes. */
	record(message: Message, bytes: number): void {
		if ('request' in message) {
			this.#data = addFrame(this.#data, bytes);
		} else {
			this.#control = addFrame(this.#control, bytes);
		}
	}
}

const addFrame = (count: TrafficCount, bytes: number): TrafficCount => ({
	frames: count.frames + 1,
	bytes: count.bytes + bytes,
});
