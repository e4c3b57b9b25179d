/** Reads framed values from a connection between gateways. */
import type {Socket} from 'node:net';
import {
	createFailure,
	decodeFrameBody,
	type Failure,
	FrameSplitter,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

/** Calls `onValue` with each value that arrives; a malformed frame closes the connection. */
export function listenForFrames(
	socket: Socket,
	onValue: (value: Result<unknown, Failure>) => void,
): void {
	const cutter = new FrameSplitter();
	socket.on('data', (chunk) => {
		cutter.append(chunk);
		for (;;) {
			const body = cutter.readNext();
			if (body.isErr()) {
				socket.destroy();
				onValue(err(body.error));
				return;
			}

			if (!body.value) {
				return;
			}

			onValue(decodeFrameBody(body.value));
		}
	});
}

/** Bytes of the length that a frame begins with. */
const lengthBytes = 4;

/** Reads the size of a frame from its first bytes; undefined if they are too few. */
export function readFrameBytes(start: Buffer): number | undefined {
	return start.length < lengthBytes
		? undefined
		: lengthBytes + start.readUInt32BE(0);
}

/** Checks a decoded value against a schema; fails with `badFrame`. */
export function checkValue<T>(
	value: unknown,
	schema: z.ZodType<T>,
): Result<T, Failure> {
	const parsed = schema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err(createFailure('badFrame', z.prettifyError(parsed.error)));
}
