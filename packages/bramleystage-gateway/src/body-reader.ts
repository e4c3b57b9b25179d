/** Reads the bodies of callers' requests within the bounds of one body and of all bodies. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createFailure, type Failure, GrowingBuffer} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import type {BodyBudget} from './body-budget.js';

/** Time after which a caller may send a body again that was refused for the sum of all, in seconds. */
const retryAfterSeconds = 1;

/**
 * Reads a body whole. It counts towards the budget until the response closes. What a
 * refused caller goes on to send is discarded.
 */
export async function readCallBody(
	request: IncomingMessage,
	response: ServerResponse,
	maxBytes: number,
	budget: BodyBudget,
): Promise<Result<Buffer, Failure>> {
	return new Promise((resolve) => {
		const body = new GrowingBuffer();
		let isRefused = false;
		const refuse = (failure: Failure) => {
			isRefused = true;
			body.take();
			budget.remove(held);
			resolve(err(failure));
		};

		const held = budget.register(() => {
			const detail = 'The bodies of the requests in progress are too large.';
			refuse(createFailure('overloaded', detail, {retryAfterSeconds}));
		});
		const handleEnd = () => {
			if (!isRefused) {
				budget.complete(held);
				resolve(ok(body.take()));
			}
		};

		request.on('data', (chunk: Buffer) => {
			if (isRefused) {
				return;
			}

			if (held.bytes + chunk.length > maxBytes) {
				const detail = `The body is over ${maxBytes} bytes.`;
				refuse(createFailure('bodyTooLarge', detail));
				return;
			}

			body.append(chunk);
			budget.add(held, chunk.length);
		});
		request.on('end', handleEnd);
		request.on('close', handleEnd);
		response.once('close', () => {
			budget.remove(held);
		});
	});
}
