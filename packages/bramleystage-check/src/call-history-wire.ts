/**
 * One session of a call history: the real wire codec over a connection that
 * delays its bytes, cuts them into chunks, and may go silent for good.
 */
import {encodeFrame, FrameDecoder, type Message} from 'bramleystage';
import type {VirtualTime} from './virtual-time.js';

/** Draws a number from 0 (inclusive) to 1 (exclusive). */
export type DrawNumber = () => number;

/** Longest delay of one chunk, in milliseconds. */
const maxDelayMs = 40;

export class HistoryWire {
	isSilent = false;
	readonly #decoder = new FrameDecoder();
	#lastArrival = 0;

	constructor(
		private readonly options: {
			readonly time: VirtualTime;
			readonly draw: DrawNumber;
			/** Time at which the receiver next reads; later than now if it is paused. */
			readonly findReadTime: () => number;
			readonly receive: (message: Message) => void;
		},
	) {}

	send(message: Message): void {
		const frame = encodeFrame(message);
		const cut = Math.floor(this.options.draw() * frame.length);
		this.#sendChunk(frame.subarray(0, cut));
		this.#sendChunk(frame.subarray(cut));
	}

	#sendChunk(chunk: Buffer): void {
		const {time, draw} = this.options;
		if (this.isSilent) {
			return;
		}

		const arrival = time.now + draw() * maxDelayMs;
		this.#lastArrival = Math.max(this.#lastArrival, arrival);
		time.schedule(this.#lastArrival - time.now, () => {
			this.#arrive(chunk);
		});
	}

	#arrive(chunk: Buffer): void {
		const {time, findReadTime, receive} = this.options;
		const wait = findReadTime() - time.now;
		if (wait > 0) {
			time.schedule(wait, () => {
				this.#arrive(chunk);
			});
			return;
		}

		this.#decoder.append(chunk);
		let next = this.#decoder.readNext();
		while (next.isOk() && next.value) {
			receive(next.value);
			next = this.#decoder.readNext();
		}
	}
}
