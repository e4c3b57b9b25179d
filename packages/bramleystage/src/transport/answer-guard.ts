/**
 * Watches for servers that send bytes which bring an answer no further. Node's
 * parser bounds one head, but takes without end what comes before it
 * (informational heads, line breaks) and what frames a body (zeros of a chunk's
 * size, chunk extensions). It takes a whole read at once and calls back for each
 * head and each chunk in it, while no other connection of the process is served;
 * so their number is bounded too, and a read in which a bound is exceeded ends there.
 */
import type {ClientRequest} from 'node:http';

/** Bytes that may arrive beside the body: four heads of the size that the parser accepts. */
export const maxFramingBytes = 64 * 1024;
/** Bytes, its own included, that each byte of the body allows; so chunks of six bytes and more have no limit. */
const bytesPerBodyByte = 2;
/** Informational heads that one read may hold. */
export const maxInformationalHeadsPerRead = 32;
/** Chunks of the body that one read may hold and that are shorter than what frames them. */
export const maxShortChunksPerRead = 4096;
/** Length below which a chunk is shorter than its size line and its two line breaks. */
const shortChunkBytes = 5;

/**
 * Calls `reject` once too many bytes of an answer have brought no body. The
 * returned function must be told each length of the body that arrives.
 */
export function registerAnswerGuard(
	request: ClientRequest,
	reject: (detail: string) => void,
): (bodyBytes: number) => void {
	let read: Buffer | undefined;
	let framingBytes = 0;
	let informationalHeads = 0;
	let shortChunks = 0;
	const rejectRead = (detail: string) => {
		reject(detail);
		// The parser would go on to the end of the read, although the connection is
		// closed; it ends at a byte that is valid in no head and no chunk's size.
		read?.fill(0);
	};

	request.on('information', () => {
		informationalHeads++;
		if (informationalHeads > maxInformationalHeadsPerRead) {
			rejectRead(
				`The server sent ${informationalHeads} informational heads at once.`,
			);
		}
	});
	request.once('socket', (socket) => {
		// Counts a read before the parser takes it, and checks the sum at the next one.
		const countRead = (chunk: Buffer) => {
			read = chunk;
			informationalHeads = 0;
			shortChunks = 0;
			if (framingBytes > maxFramingBytes) {
				rejectRead(`The server sent ${framingBytes} bytes that are no answer.`);
			} else {
				framingBytes += chunk.length;
			}
		};

		socket.prependListener('data', countRead);
		request.once('close', () => {
			read = undefined;
			socket.off('data', countRead);
		});
	});
	return (bodyBytes) => {
		framingBytes = Math.max(0, framingBytes - bodyBytes * bytesPerBodyByte);
		if (bodyBytes < shortChunkBytes) {
			shortChunks++;
		}

		if (shortChunks > maxShortChunksPerRead) {
			rejectRead(
				`The server sent ${shortChunks} chunks below ${shortChunkBytes} bytes at once.`,
			);
		}
	};
}
