/** The server for pings, permit messages and queries of other gateways (peer-exchange.ts). */
import {createServer, type Socket} from 'node:net';
import {
	encodeValueFrame,
	type LifeCycle,
	type Logger,
	startServer,
} from 'bramleystage';
import {merge} from 'rxjs';
import {ConfigurationEncoder} from './configuration-codec.js';
import type {CrashLedger} from './crash-ledger.js';
import type {Fleet} from './fleet.js';
import type {LimitWatch} from './limit-watch.js';
import {
	type PeerAnswer,
	type PeerQuery,
	requestSchema,
	type WireAnswer,
} from './peer-exchange.js';
import {checkValue, listenForFrames} from './peer-frames.js';
import type {PeerLinks} from './peer-links.js';
import {PeerPublisher, type PeerPublisherOptions} from './peer-publisher.js';
import type {PeerSync} from './peer-sync.js';
import type {Ping} from './peer-update.js';
import type {Permits} from './permits.js';
import type {PermitMessageToOwner} from './permit-messages.js';

/** Time without data after which a connection is closed, in milliseconds: several pings. */
const idleTimeoutMs = 3000;

export type PeerHandlers = {
	readonly answer: (query: PeerQuery) => PeerAnswer;
	readonly acceptPing: (socket: Socket, ping: Ping) => void;
	readonly acceptPermitMessage: (
		socket: Socket,
		message: PermitMessageToOwner,
	) => void;
};

/** Starts the server for queries and pings of other gateways. */
export async function listenForPeers(
	address: string,
	handlers: PeerHandlers,
	lifeCycle: LifeCycle,
	logger: Logger,
): Promise<void> {
	const sockets = new Set<Socket>();
	const encoder = new ConfigurationEncoder();
	const server = createServer((socket) => {
		sockets.add(socket);
		servePeerSocket(socket, handlers, {encoder, logger});
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await startServer(server, address, {logger});
	lifeCycle.register(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

/** Answers what another gateway sends over a connection. */
export function servePeerSocket(
	socket: Socket,
	handlers: PeerHandlers,
	{
		encoder,
		logger,
	}: {encoder: Pick<ConfigurationEncoder, 'encode'>; logger: Logger},
): void {
	socket.setNoDelay(true);
	socket.setTimeout(idleTimeoutMs, () => {
		socket.destroy();
	});
	socket.on('error', (error) => {
		logger.debug('peer.lost', {detail: error.message});
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
		} else if ('type' in request.value) {
			handlers.acceptPermitMessage(socket, request.value);
		} else {
			const answer = handlers.answer(request.value);
			void buildWireAnswer(request.value, answer, encoder, logger).then(
				(built) => socket.end(encodeValueFrame(built)),
			);
		}
	});
}

/** Compresses the configuration of an answer if the sender of the query can read that. */
async function buildWireAnswer(
	query: PeerQuery,
	answer: PeerAnswer,
	encoder: Pick<ConfigurationEncoder, 'encode'>,
	logger: Logger,
): Promise<PeerAnswer | WireAnswer> {
	const {configuration, ...others} = answer;
	if (!configuration || !query.acceptsCompressed) {
		return answer;
	}

	const encoded = await encoder.encode(configuration);
	if (encoded.isErr()) {
		logger.warn('configuration.uncompressed', {detail: encoded.error.detail});
		return answer;
	}

	return {...others, compressedConfiguration: encoded.value};
}

export type PeerServerOptions = PeerPublisherOptions & {
	/** `host:port`. */
	readonly address: string;
	readonly peerLinks: Pick<PeerLinks, 'sendPings'>;
	readonly peerSync: Pick<PeerSync, 'answer'>;
	readonly fleet: Pick<Fleet, 'snapshots'>;
	readonly crashes: Pick<CrashLedger, 'acceptNews' | 'buildNews' | 'news'>;
	readonly limits: Pick<LimitWatch, 'acceptNews' | 'buildNews' | 'news'>;
	readonly permits: Pick<Permits, 'accept'>;
	/** Opens the server. */
	readonly listen?: typeof listenForPeers;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
};

/** Starts the server, and sends news to the gateways that follow this one and to those that it follows. */
export async function startPeerServer({
	address,
	peerLinks,
	peerSync,
	fleet,
	permits,
	lifeCycle,
	logger,
	listen = listenForPeers,
	...options
}: PeerServerOptions): Promise<PeerPublisher> {
	const publisher = new PeerPublisher(options);
	merge(options.crashes.news, options.limits.news).subscribe(() => {
		peerLinks.sendPings();
		publisher.publish();
	});
	await listen(
		address,
		{
			answer: (query) => peerSync.answer(query),
			acceptPing(socket, ping) {
				publisher.acceptPing(socket, ping);
			},
			acceptPermitMessage(socket, message) {
				permits.accept(socket, message);
			},
		},
		lifeCycle,
		logger,
	);
	fleet.snapshots.subscribe(() => {
		publisher.publish();
	});
	return publisher;
}
