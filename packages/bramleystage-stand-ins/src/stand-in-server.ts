/**
 * HTTP server of the stand-ins, with fault injection. `PUT /faults` sets the
 * faults with a JSON body: `down` refuses every request with status 503,
 * `slowMs` delays each response, `loseAnswers` closes the connection instead of
 * responding after a request took effect, and `silent` leaves every request on
 * the connections open at that time unanswered, while new connections work.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	defaultHttpBounds,
	type HttpListener,
	listenHttp,
	parseJson,
	readBody,
	waitFor,
	writeJson,
} from 'bramleystage';
import * as z from 'zod';

export const faultsSchema = z.object({
	down: z.boolean().default(false),
	slowMs: z.number().min(0).max(600_000).default(0),
	/** Number of next requests that take effect but get no response. */
	loseAnswers: z.int().min(0).default(0),
	/** Connections that are open now never get a response again; new ones work. */
	silent: z.boolean().default(false),
});
export type Faults = z.infer<typeof faultsSchema>;

/** Handles one request to a stand-in. */
export type RequestHandler = (context: {
	readonly method: string;
	readonly url: URL;
	readonly body: Buffer;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
}) => void | Promise<void>;

export type StandIn = HttpListener & {
	readonly setFaults: (faults: Partial<Faults>) => void;
};

/** Starts the HTTP server of a stand-in, with fault injection. */
export async function serveStandIn(
	address: string,
	handler: RequestHandler,
): Promise<StandIn> {
	let faults = faultsSchema.parse({});
	const connections = new Set<IncomingMessage['socket']>();
	const unresponsive = new WeakSet<IncomingMessage['socket']>();

	const setFaults = (changes: Partial<Faults>) => {
		faults = faultsSchema.parse({...faults, ...changes});
		if (faults.silent) {
			for (const socket of connections) {
				unresponsive.add(socket);
			}

			faults = {...faults, silent: false};
		}
	};

	const handleFaultsRequest = (body: Buffer, response: ServerResponse) => {
		setFaults(faultsSchema.partial().parse(parseJson(body.toString())));
		writeJson(response, 200, faults);
	};

	const handleRequest = async (
		request: IncomingMessage,
		response: ServerResponse,
	) => {
		const {socket} = request;
		if (!connections.has(socket)) {
			connections.add(socket);
			socket.once('close', () => connections.delete(socket));
		}

		const body = await readBody(request, defaultHttpBounds);
		if (body.isErr()) {
			response.destroy();
			return;
		}

		const url = new URL(request.url ?? '/', 'http://stand-in');
		if (url.pathname === '/faults') {
			handleFaultsRequest(body.value, response);
			return;
		}

		if (faults.down) {
			writeJson(response, 503, {error: 'down'});
			return;
		}

		await waitFor(faults.slowMs);
		if (unresponsive.has(socket)) {
			return;
		}

		if (faults.loseAnswers > 0) {
			faults = {...faults, loseAnswers: faults.loseAnswers - 1};
			closeInsteadOfResponding(response);
		}

		const method = request.method ?? 'GET';
		await handler({method, url, body: body.value, request, response});
	};

	const handleWithValidation = async (
		request: IncomingMessage,
		response: ServerResponse,
	) => {
		try {
			await handleRequest(request, response);
		} catch (error) {
			if (!(error instanceof z.ZodError) || response.headersSent) {
				throw error;
			}

			writeJson(response, 400, {error: error.message});
		}
	};

	const listener = await listenHttp(address, handleWithValidation);
	return {...listener, setFaults};
}

/** Lets a request take effect, but closes its connection instead of responding. */
function closeInsteadOfResponding(response: ServerResponse): void {
	response.write = () => true;
	response.writeHead = () => response;
	response.end = () => response.destroy();
}
