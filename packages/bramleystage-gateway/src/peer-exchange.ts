/**
 * The protocol between gateways, with its server and its client for queries. A
 * gateway that the platform's store does not answer sends one query, on a
 * short-lived connection, for the newest configuration and the list of backend
 * servers. A gateway that follows another keeps its connection open and sends
 * pings (peer-update.ts). All values are framed.
 */
import {connect, createServer, type Socket} from 'node:net';
import {
	type Backend,
	createFailure,
	encodeValueFrame,
	type Failure,
	type LifeCycle,
	type Logger,
	parseAddress,
	type RoutingConfiguration,
} from 'bramleystage';
import {err, type Result} from 'neverthrow';
import * as z from 'zod';
import {checkValue, listenForFrames} from './peer-frames.js';
import {backendSchema, type Ping, pingSchema} from './peer-update.js';

const querySchema = z.object({
	/** Version that the sender has; the answer has a configuration only if it is newer. */
	version: z.int(),
	/** Age of the sender's list, in milliseconds, or null if it has none; the answer has a list only if it is newer. */
	listAgeMs: z.number().nullable(),
});

/** Checks only the outer shape of a configuration, as peers run the same program. */
const configurationSchema = z.custom<RoutingConfiguration>((value) => {
	const candidate = value as Partial<RoutingConfiguration> | undefined;
	return (
		Number.isInteger(candidate?.version) &&
		Array.isArray(candidate?.routes) &&
		candidate?.services instanceof Map &&
		typeof candidate.bounds === 'object'
	);
});

const answerSchema = z.object({
	/** Time since the list was read from the store, in milliseconds; null if never. */
	listAgeMs: z.number().nullable(),
	isStopping: z.boolean(),
	configuration: configurationSchema.optional(),
	list: z
		.object({backends: z.array(backendSchema), ageMs: z.number()})
		.optional(),
});

const requestSchema = z.union([pingSchema, querySchema]);

export type PeerQuery = z.infer<typeof querySchema>;
export type PeerAnswer = {
	/** Time since the list was read from the store, in milliseconds; null if never. */
	readonly listAgeMs: number | null;
	readonly isStopping: boolean;
	readonly configuration?: RoutingConfiguration;
	readonly list?: {
		readonly backends: readonly Backend[];
		/** Time since the list was read from the store, in milliseconds. */
		readonly ageMs: number;
	};
};

/** Timeout of a query, in milliseconds; peers are within a region. */
const queryTimeoutMs = 400;
/** Time without data after which a connection is closed, in milliseconds: several pings. */
const idleTimeoutMs = 3000;

export type PeerHandlers = {
	readonly answer: (query: PeerQuery) => PeerAnswer;
	readonly acceptPing: (socket: Socket, ping: Ping) => void;
};

/** Starts the server for queries and pings of other gateways. */
export async function listenForPeers(
	address: string,
	handlers: PeerHandlers,
	lifeCycle: LifeCycle,
	logger: Logger,
): Promise<void> {
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.setTimeout(idleTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('error', (error) => {
			logger.debug('peer.lost', {detail: error.message});
		});
		socket.on('close', () => {
			sockets.delete(socket);
		});
		listenForFrames(socket, (value) => {
			const request = value.andThen((decoded) =>
				checkValue(decoded, requestSchema),
			);
			if (request.isErr()) {
				logger.warn('peer.bad', {detail: request.error.detail});
				socket.destroy();
			} else if ('beatAt' in request.value) {
				handlers.acceptPing(socket, request.value);
			} else {
				socket.end(encodeValueFrame(handlers.answer(request.value)));
			}
		});
	});
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifeCycle.register(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

/** Sends a query to another gateway and waits for its answer. */
export async function sendPeerQuery(
	address: string,
	query: PeerQuery,
): Promise<Result<PeerAnswer, Failure>> {
	const socket = connect({...parseAddress(address), noDelay: true});
	const answer = await new Promise<Result<PeerAnswer, Failure>>((resolve) => {
		const fail = (detail: string) => {
			resolve(err(createFailure('badFrame', detail)));
		};

		socket.setTimeout(queryTimeoutMs, () => {
			fail(`No answer within ${queryTimeoutMs} ms.`);
		});
		socket.on('error', (error) => {
			fail(error.message);
		});
		socket.on('close', () => {
			fail('The connection closed before a complete answer.');
		});
		socket.on('connect', () => {
			socket.write(encodeValueFrame(query));
		});
		listenForFrames(socket, (value) => {
			resolve(value.andThen((decoded) => checkValue(decoded, answerSchema)));
		});
	});
	socket.destroy();
	return answer;
}
