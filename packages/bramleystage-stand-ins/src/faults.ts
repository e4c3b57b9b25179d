/**
 * Faults of a stand-in, switched by `PUT /faults` with a JSON body: `down`
 * refuses every request, `slowMs` delays each answer, `loseAnswers` closes the
 * connection after the request took effect, `silent` leaves every request
 * open connections unanswered while new connections work.
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
	/** How many of the next answers are lost after their effect. */
	loseAnswers: z.int().min(0).default(0),
	/** Connections that are open now go silent for good; new ones work. */
	silent: z.boolean().default(false),
});
export type Faults = z.infer<typeof faultsSchema>;

/** Answers one request of a stand-in. */
export type Route = (context: {
	readonly method: string;
	readonly url: URL;
	readonly body: Buffer;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
}) => void | Promise<void>;

export type StandIn = HttpListener & {
	readonly setFaults: (faults: Partial<Faults>) => void;
};

/** Serves a stand-in with its faults. */
export async function serveStandIn(
	address: string,
	route: Route,
): Promise<StandIn> {
	let faults = faultsSchema.parse({});
	const connections = new Set<IncomingMessage['socket']>();
	const silenced = new WeakSet<IncomingMessage['socket']>();

	const setFaults = (changed: Partial<Faults>) => {
		faults = faultsSchema.parse({...faults, ...changed});
		if (faults.silent) {
			for (const socket of connections) {
				silenced.add(socket);
			}

			faults = {...faults, silent: false};
		}
	};

	const changeFaults = (body: Buffer, response: ServerResponse) => {
		setFaults(faultsSchema.partial().parse(parseJson(body.toString())));
		writeJson(response, 200, faults);
	};

	const answer = async (request: IncomingMessage, response: ServerResponse) => {
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
			changeFaults(body.value, response);
			return;
		}

		if (faults.down) {
			writeJson(response, 503, {error: 'down'});
			return;
		}

		await waitFor(faults.slowMs);
		if (silenced.has(socket)) {
			return;
		}

		if (faults.loseAnswers > 0) {
			faults = {...faults, loseAnswers: faults.loseAnswers - 1};
			closeInsteadOfAnswer(response);
		}

		const method = request.method ?? 'GET';
		await route({method, url, body: body.value, request, response});
	};

	const answerChecked = async (
		request: IncomingMessage,
		response: ServerResponse,
	) => {
		try {
			await answer(request, response);
		} catch (error) {
			if (!(error instanceof z.ZodError) || response.headersSent) {
				throw error;
			}

			writeJson(response, 400, {error: error.message});
		}
	};

	const listener = await listenHttp(address, answerChecked);
	return {...listener, setFaults};
}

/** Lets a request take effect, but closes its connection in place of an answer. */
function closeInsteadOfAnswer(response: ServerResponse): void {
	response.write = () => true;
	response.writeHead = () => response;
	response.end = () => response.destroy();
}
