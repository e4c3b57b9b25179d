/** HTTP client of the plain service that this agent serves. */
import http from 'node:http';
import {
	type Call,
	type CallAnswer,
	createFailure,
	type Failure,
	type HttpError,
	sendHttpRequest,
} from 'bramleystage';
import type {Result} from 'neverthrow';

export class ServiceClient {
	/**
	 * Opens a connection for each call. On a kept-alive one, a late second copy of
	 * an answer would be taken for the next call's, and the service may close it
	 * while a call is sent.
	 */
	readonly #connections = new http.Agent({keepAlive: false});

	constructor(private readonly url: string) {}

	/** Sends a call and waits for the complete response. */
	async runCall(
		call: Call,
		timeoutMs: number,
		signal: AbortSignal,
	): Promise<Result<CallAnswer, Failure>> {
		const response = await sendHttpRequest({
			method: call.method,
			url: `${this.url}${call.path}`,
			headers: mergeHeaders(call.headers),
			body: call.body.length > 0 ? call.body : undefined,
			agent: this.#connections,
			timeoutMs,
			signal,
		});
		return response
			.map(({status, headers, body}): CallAnswer => ({
				type: 'callAnswer',
				request: call.request,
				status,
				headers: headers.map(([name, value]) => [name, value]),
				body,
			}))
			.mapErr((error) => createCallFailure(error));
	}

	close(): void {
		this.#connections.destroy();
	}
}

function mergeHeaders(
	pairs: ReadonlyArray<readonly [string, string]>,
): Record<string, string[]> {
	const merged = new Map<string, string[]>();
	for (const [name, value] of pairs) {
		merged.set(name, [...(merged.get(name) ?? []), value]);
	}

	return Object.fromEntries(merged);
}

function createCallFailure({kind, sent, detail}: HttpError): Failure {
	if (!sent) {
		return createFailure('backendRefused', detail);
	}

	if (kind === 'tooLarge') {
		return createFailure('answerTooLarge', detail);
	}

	return createFailure(
		kind === 'timeout' ? 'deadlinePassed' : 'backendLost',
		detail,
	);
}
