/**
 * Length-prefixed frames on a TCP stream: a 4-byte big-endian length followed
 * by one value in CBOR (cbor-x). The decoder checks the length before it
 * buffers the body, and validates every value against the message schema.
 */
import {decode, encode} from 'cbor-x';
import {err, ok, type Result} from 'neverthrow';
import {type Message, messageSchema} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

const lengthBytes = 4;

/** Largest body of a frame that is accepted, in bytes. */
export const maxFrameBytes = 16 * 1024 * 1024;

/** Encodes one value as a frame. */
export function encodeValueFrame(value: unknown): Buffer {
	const body = encode(value);
	const frame = Buffer.allocUnsafe(lengthBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	body.copy(frame, lengthBytes);
	return frame;
}

/** Encodes one message as a frame. */
export const encodeFrame = (message: Message): Buffer =>
	encodeValueFrame(message);

/** Splits a byte stream into the bodies of its frames. */
export class FrameSplitter {
	#buffered: Buffer = Buffer.alloc(0);

	/** Appends bytes that arrived on the stream. */
	append(chunk: Buffer): void {
		this.#buffered =
			this.#buffered.length === 0
				? chunk
				: Buffer.concat([this.#buffered, chunk]);
	}

	/**
	 * Returns the next complete body, or undefined until it has arrived. Fails
	 * with `badFrame` if the length is over the limit.
	 */
	readNext(): Result<Buffer | undefined, Failure> {
		if (this.#buffered.length < lengthBytes) {
			return ok(undefined);
		}

		const length = this.#buffered.readUInt32BE(0);
		if (length > maxFrameBytes) {
			return err(
				createFailure(
					'badFrame',
					`A frame has ${length} bytes, over the limit.`,
				),
			);
		}

		const end = lengthBytes + length;
		if (this.#buffered.length < end) {
			return ok(undefined);
		}

		const body = this.#buffered.subarray(lengthBytes, end);
		this.#buffered = this.#buffered.subarray(end);
		return ok(body);
	}
}

/** Decodes the body of a frame; fails with `badFrame` if it is not valid CBOR. */
export function decodeFrameBody(body: Buffer): Result<unknown, Failure> {
	try {
		return ok(decode(body));
	} catch {
		return err(createFailure('badFrame', 'A frame is not valid CBOR.'));
	}
}

/** Splits a byte stream into validated messages. */
export class FrameDecoder {
	readonly #splitter = new FrameSplitter();

	/** Appends bytes that arrived on the stream. */
	append(chunk: Buffer): void {
		this.#splitter.append(chunk);
	}

	/**
	 * Returns the next complete message, or undefined until it has arrived. Fails
	 * with `badFrame` if a frame is too large, not valid CBOR, or no valid message.
	 */
	readNext(): Result<Message | undefined, Failure> {
		return this.#splitter
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
