/**
 * One direction of a session in a call history: the production wire codec over
 * a simulated connection that splits frames into chunks, delays the chunks, and
 * may stop delivering for good.
 */
import {encodeFrame, FrameDecoder, type Message} from 'bramleystage';
import type {VirtualClock} from 'bramleystage-stand-ins';

/** Draws a number from 0 (inclusive) to 1 (exclusive). */
export type DrawNumber = () => number;

/** Longest delay of one chunk, in milliseconds. Chunks stay in order. */
const maxChunkDelayMs = 40;

export class HistoryChannel {
	isSilent = false;
	readonly #decoder = new FrameDecoder();
	#lastArrival = 0;

	constructor(
		private readonly options: {
			readonly time: VirtualClock;
			readonly draw: DrawNumber;
			/**
			 * Returns the time at which the receiver next reads: later than now
			 * while it is paused.
			 */
			readonly findReadTime: () => number;
			readonly receive: (message: Message) => void;
		},
	) {}

	send(message: Message): void {
		const frame = encodeFrame(message);
		const splitAt = Math.floor(this.options.draw() * frame.length);
		this.#sendChunk(frame.subarray(0, splitAt));
		this.#sendChunk(frame.subarray(splitAt));
	}

	#sendChunk(chunk: Buffer): void {
		const {time, draw} = this.options;
		if (this.isSilent) {
			return;
		}

		const arrival = time.now + draw() * maxChunkDelayMs;
		this.#lastArrival = Math.max(this.#lastArrival, arrival);
		time.schedule(this.#lastArrival - time.now, () => {
			this.#receiveChunk(chunk);
		});
	}

	#receiveChunk(chunk: Buffer): void {
		const {time, findReadTime, receive} = this.options;
		const waitMs = findReadTime() - time.now;
		if (waitMs > 0) {
			time.schedule(waitMs, () => {
				this.#receiveChunk(chunk);
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
