/**
 * Frames on a TCP stream: a 4-byte big-endian length, then one cbor-x value.
 * The decoder bounds the length before it buffers, and checks every value
 * against the message schema.
 */
import {decode, encode} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';
import {type Message, messageSchema} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

const lengthBytes = 4;

/** Largest frame that is accepted, in bytes. */
export const maxFrameBytes = 16 * 1024 * 1024;

/** Encodes one value with its length in front. */
export function encodeValueFrame(value: unknown): Buffer {
	const body = encode(value);
	const frame = Buffer.allocUnsafe(lengthBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, lengthBytes);
	return frame;
}

/** Encodes one message with its length in front. */
export const encodeFrame = (message: Message): Buffer =>
	encodeValueFrame(message);

/** Cuts a byte stream into the bodies of frames. */
export class FrameCutter {
	#pending: Buffer = Buffer.alloc(0);

	/** Takes the next bytes of the stream. */
	append(chunk: Buffer): void {
		this.#pending =
			this.#pending.length === 0
				? chunk
				: Buffer.concat([this.#pending, chunk]);
	}

	/** Gives the next whole body, nothing yet, or why the stream is bad. */
	readNext(): Result<Buffer | undefined, Failure> {
		if (this.#pending.length < lengthBytes) {
			return ok(undefined);
		}

		const length = this.#pending.readUInt32BE(0);
		if (length > maxFrameBytes) {
			return err(createFailure('badFrame', `A frame of ${length} bytes.`));
		}

		const end = lengthBytes + length;
		if (this.#pending.length < end) {
			return ok(undefined);
		}

		const body = this.#pending.subarray(lengthBytes, end);
		this.#pending = this.#pending.subarray(end);
		return ok(body);
	}
}

/** Decodes the body of a frame. */
export function decodeFrameBody(body: Buffer): Result<unknown, Failure> {
	try {
		return ok(decode(body));
	} catch {
		return err(createFailure('badFrame', 'A frame is not valid CBOR.'));
	}
}

/** Cuts a byte stream into messages. */
export class FrameDecoder {
	readonly #cutter = new FrameCutter();

	/** Takes the next bytes of the stream. */
	append(chunk: Buffer): void {
		this.#cutter.append(chunk);
	}

	/** Gives the next whole message, nothing yet, or why the stream is bad. */
	readNext(): Result<Message | undefined, Failure> {
		return this.#cutter
			.readNext()
			.andThen((body) => (body ? parseMessage(body) : ok(undefined)));
	}
}

function parseMessage(body: Buffer): Result<Message, Failure> {
	return decodeFrameBody(body).andThen((value) => {
		const parsed = messageSchema.safeParse(value);
		return parsed.success
			? ok(parsed.data)
			: err(createFailure('badFrame', parsed.error.issues[0]?.message ?? ''));
	});
}
