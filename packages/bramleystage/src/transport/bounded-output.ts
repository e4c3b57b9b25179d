/**
 * A writable stream for log lines that never blocks the process. While the
 * target is slow, lines beyond a buffer limit are dropped and counted, and the
 * count is written before the next line that fits. After a write error of the
 * target, such as a closed pipe, all lines are dropped.
 */
import {Writable} from 'node:stream';

export type BoundedOutput = {
	readonly stream: Writable;
	/** Returns the number of lines that have been dropped since the start. */
	readonly countDropped: () => number;
};

/** Bytes buffered for a slow target: a few seconds of log lines under load. */
const maxPendingBytes = 1024 * 1024;

/**
 * Creates an output that writes to `target`. `formatDropped` returns the line
 * that reports how many lines were dropped. `maxBytes` limits the bytes that
 * the target may buffer.
 */
export function createBoundedOutput(
	target: Writable,
	formatDropped: (count: number) => string,
	maxBytes = maxPendingBytes,
): BoundedOutput {
	let droppedCount = 0;
	let unreportedCount = 0;
	let hasFailed = false;
	// The error can't be logged because this is the output of the log; the count
	// of dropped lines shows it.
	target.on('error', () => {
		hasFailed = true;
	});
	const stream = new Writable({
		decodeStrings: false,
		write(chunk: string | Buffer, _encoding, done) {
			if (hasFailed || target.writableLength > maxBytes) {
				droppedCount++;
				unreportedCount++;
			} else {
				if (unreportedCount > 0) {
					target.write(`${formatDropped(unreportedCount)}\n`);
					unreportedCount = 0;
				}

				target.write(chunk);
			}

			done();
		},
	});
	return {stream, countDropped: () => droppedCount};
}
