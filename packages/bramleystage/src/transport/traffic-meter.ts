/**
 * Counts the frames and bytes that a process sends on its sessions, separately
 * for control and data. A frame that names a request is data; all others are
 * control.
 */
import type {Message} from '../protocol/messages.js';

/** Frames and bytes sent since the process started. */
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

	/** Counts one frame; `bytes` is its size. */
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
