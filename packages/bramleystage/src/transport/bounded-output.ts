/**
 * An output for log lines that never holds up the process: while its reader is
 * slow, lines over a bound are dropped and counted, and the count is written
 * once there is room again. If the reader is gone, all lines are dropped.
 */
import {Writable} from 'node:stream';

export type BoundedOutput = {
	readonly stream: Writable;
	/** Lines that were dropped so far. */
	readonly countDropped: () => number;
};

/** Bytes that may wait for a slow reader; a few seconds of lines under load. */
const maxWaitingBytes = 1024 * 1024;

/** Creates an output before a stream; `formatDropped` gives the line that tells how many are missing. */
export function createBoundedOutput(
	target: Writable,
	formatDropped: (count: number) => string,
	maxBytes = maxWaitingBytes,
): BoundedOutput {
	let dropped = 0;
	let untold = 0;
	let isGone = false;
	// Nobody is left to be told of the error; the count of dropped lines shows it.
	target.on('error', () => {
		isGone = true;
	});
	const stream = new Writable({
		decodeStrings: false,
		write(chunk: string | Buffer, _encoding, done) {
			if (isGone || target.writableLength > maxBytes) {
				dropped++;
				untold++;
			} else {
				if (untold > 0) {
					target.write(`${formatDropped(untold)}\n`);
					untold = 0;
				}

				target.write(chunk);
			}

			done();
		},
	});
	return {stream, countDropped: () => dropped};
}
