/** Calls of the plain service beside this agent, over HTTP. */
import http from 'node:http';
import {
	type Call,
	type CallAnswer,
	createFailure,
	type Failure,
	type HttpError,
	sendHttp,
} from 'bramleystage';
import type {Result} from 'neverthrow';

export class ServiceClient {
	readonly #kept = new http.Agent({keepAlive: true});
	readonly #fresh = new http.Agent({keepAlive: false});

	constructor(private readonly url: string) {}

	/** Makes a call and waits for the whole answer. */
	async runCall(
		call: Call,
		timeoutMs: number,
		signal: AbortSignal,
	): Promise<Result<CallAnswer, Failure>> {
		const answer = await sendHttp({
			method: call.method,
			url: `${this.url}${call.path}`,
			headers: mergeHeaders(call.headers),
			body: call.body.length > 0 ? call.body : undefined,
			// A kept connection may close under a call that must not be repeated.
			agent: call.idempotent ? this.#kept : this.#fresh,
			timeoutMs,
			signal,
		});
		return answer
			.map(({status, headers, body}): CallAnswer => ({
				type: 'callAnswer',
				request: call.request,
				status,
				headers: headers.map(([name, value]) => [name, value]),
				body,
			}))
			.mapErr((error) => describeError(error));
	}

	close(): void {
		this.#kept.destroy();
		this.#fresh.destroy();
	}
}

function mergeHeaders(
	pairs: ReadonlyArray<readonly [string, string]>,
): Record<string, string[]> {
	const merged: Record<string, string[]> = {};
	for (const [name, value] of pairs) {
		(merged[name] ??= []).push(value);
	}

	return merged;
}

function describeError({kind, sent, detail}: HttpError): Failure {
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
