/**
 * Watches for servers that send bytes which bring an answer no further. Node's
 * parser bounds one head, but takes without end what comes before it
 * (informational heads, line breaks) and what frames a body (zeros of a chunk's
 * size, chunk extensions).
 */
import type {ClientRequest} from 'node:http';

/** Bytes that may arrive beside the body: four heads of the size that the parser accepts. */
export const maxFramingBytes = 64 * 1024;
/** Bytes, its own included, that each byte of the body allows; so chunks of six bytes and more have no limit. */
const bytesPerBodyByte = 2;

/**
 * Calls `reject` once too many bytes of an answer have brought no body. The
 * returned function must be told each length of the body that arrives.
 */
export function registerAnswerGuard(
	request: ClientRequest,
	reject: (detail: string) => void,
): (bodyBytes: number) => void {
	let framingBytes = 0;
	request.once('socket', (socket) => {
		// Counts a chunk before the parser takes it, and checks the sum at the next one.
		const countChunk = (chunk: Buffer) => {
			if (framingBytes > maxFramingBytes) {
				reject(`The server sent ${framingBytes} bytes that are no answer.`);
			} else {
				framingBytes += chunk.length;
			}
		};

		socket.prependListener('data', countChunk);
		request.once('close', () => {
			socket.off('data', countChunk);
		});
	});
	return (bodyBytes) => {
		framingBytes = Math.max(0, framingBytes - bodyBytes * bytesPerBodyByte);
	};
}
