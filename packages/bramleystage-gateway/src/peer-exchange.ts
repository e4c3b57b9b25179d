/**
 * The port at which gateways speak to each other. One asks a single question on
 * a short-lived connection when the platform's store does not answer it: for
 * the newest configuration and the list of backend servers. One that follows
 * another keeps its connection and sends beats (peer-news.ts). Values are framed.
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
import {checkValue, registerFrames} from './peer-frames.js';
import {backendSchema, type Beat, beatSchema} from './peer-news.js';

const questionSchema = z.object({
	/** Configurations that are not newer are left out. */
	version: z.int(),
	/** Age of the asker's list, in milliseconds; an older one is left out. */
	listAgeMs: z.number().nullable(),
});

/** Peers run the same program, so only the outer shape of a configuration is checked. */
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
	/** Time since the list was read from the store, in milliseconds; nothing if never. */
	listAgeMs: z.number().nullable(),
	isStopping: z.boolean(),
	configuration: configurationSchema.optional(),
	list: z
		.object({backends: z.array(backendSchema), ageMs: z.number()})
		.optional(),
});

const requestSchema = z.union([beatSchema, questionSchema]);

export type PeerQuestion = z.infer<typeof questionSchema>;
export type PeerAnswer = {
	/** Time since the list was read from the store, in milliseconds; nothing if never. */
	readonly listAgeMs: number | null;
	readonly isStopping: boolean;
	readonly configuration?: RoutingConfiguration;
	readonly list?: {
		readonly backends: readonly Backend[];
		/** Time since the list was read from the store, in milliseconds. */
		readonly ageMs: number;
	};
};

/** Time for one exchange, in milliseconds; peers are within a region. */
const exchangeMs = 400;
/** A connection on which nothing comes for this long is closed, in milliseconds: several beats. */
const idleMs = 3000;

export type PeerHandlers = {
	readonly answer: (question: PeerQuestion) => PeerAnswer;
	readonly acceptBeat: (socket: Socket, beat: Beat) => void;
};

/** Serves other gateways. */
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
		socket.setTimeout(idleMs, () => {
			socket.destroy();
		});
		socket.on('error', (error) => {
			logger.debug('peer.lost', {detail: error.message});
		});
		socket.on('close', () => {
			sockets.delete(socket);
		});
		registerFrames(socket, (value) => {
			const request = value.andThen((found) =>
				checkValue(found, requestSchema),
			);
			if (request.isErr()) {
				logger.warn('peer.bad', {detail: request.error.detail});
				socket.destroy();
			} else if ('beatAt' in request.value) {
				handlers.acceptBeat(socket, request.value);
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

/** Asks another gateway. */
export async function sendQuestion(
	address: string,
	question: PeerQuestion,
): Promise<Result<PeerAnswer, Failure>> {
	const socket = connect({...parseAddress(address), noDelay: true});
	const answer = await new Promise<Result<PeerAnswer, Failure>>((resolve) => {
		const fail = (detail: string) => {
			resolve(err(createFailure('badFrame', detail)));
		};

		socket.setTimeout(exchangeMs, () => {
			fail(`No answer in ${exchangeMs} ms.`);
		});
		socket.on('error', (error) => {
			fail(error.message);
		});
		socket.on('close', () => {
			fail('The connection closed before a whole answer.');
		});
		socket.on('connect', () => {
			socket.write(encodeValueFrame(question));
		});
		registerFrames(socket, (value) => {
			resolve(value.andThen((found) => checkValue(found, answerSchema)));
		});
	});
	socket.destroy();
	return answer;
}
