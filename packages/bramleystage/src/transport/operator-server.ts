/**
 * HTTP endpoints for operators: `/metrics` for Prometheus, `/healthz` and
 * `/readyz`, and `/dump`, the state of the process as JSON.
 */
import type {Registry} from 'prom-client';
import {
	defaultHttpBounds,
	type HttpHandler,
	type HttpListener,
	listenHttp,
	writeJson,
} from './http-server.js';
import type {ListenOptions} from './listening.js';

export type OperatorServerOptions = {
	readonly registry: Registry;
	readonly isReady: () => boolean;
	/** Returns the state of the process as plain values that JSON can encode. */
	readonly dump: () => unknown;
};

/** Serves the endpoints on `host:port`. */
export async function listenForOperators(
	address: string,
	options: OperatorServerOptions,
	listenOptions: ListenOptions = {},
): Promise<HttpListener> {
	const handleRequest: HttpHandler = async (request, response) => {
		switch (request.url) {
			case '/healthz': {
				writeJson(response, 200, {status: 'ok'});
				break;
			}

			case '/readyz': {
				const isReady = options.isReady();
				writeJson(response, isReady ? 200 : 503, {ready: isReady});
				break;
			}

			case '/dump': {
				writeJson(response, 200, options.dump());
				break;
			}

			case '/metrics': {
				const text = await options.registry.metrics();
				response.writeHead(200, {'content-type': options.registry.contentType});
				response.end(text);
				break;
			}

			default: {
				writeJson(response, 404, {error: 'No such path.'});
			}
		}
	};

	return listenHttp(address, handleRequest, defaultHttpBounds, listenOptions);
}
