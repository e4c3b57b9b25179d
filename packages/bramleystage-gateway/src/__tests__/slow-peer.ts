/**
 * A gateway that answers peers, behind a relay that passes on each large answer
 * slowly, or a part of it only, as a full link or a paused process does.
 */
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {
	type Backend,
	type LifeCycle,
	type Logger,
	type RoutingConfiguration,
	toBackendId,
	toDataCentreId,
	toRouteName,
	toServiceName,
} from 'bramleystage';
import {pickPort} from 'bramleystage-stand-ins';
import {BehaviorSubject} from 'rxjs';
import type {ConfigurationFollower} from '../configuration-follower.js';
import {Fleet} from '../fleet.js';
import {listenForPeers} from '../peer-server.js';
import {PeerSync} from '../peer-sync.js';

/** Answers above this size carry a configuration, in bytes. */
const largeAnswerBytes = 10_000;
const piecesPerAnswer = 60;
const readClock = () => performance.now();

export const silentLogger: Logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};

/** Draws names of 12 letters, the same ones in each run. */
function createNameSource(): () => string {
	let count = 0;
	return () => {
		count++;
		const bytes = createHash('sha256').update(String(count)).digest();
		return String.fromCodePoint(
			...bytes.subarray(0, 12).map((byte) => 97 + (byte % 26)),
		);
	};
}

/** Builds a configuration whose routes have hosts, paths and targets of random names. */
export function buildConfiguration(
	version: number,
	routeCount: number,
): RoutingConfiguration {
	const drawName = createNameSource();
	const services = Array.from({length: 60}, () => toServiceName(drawName()));
	return {
		version,
		services: new Map(
			services.map((name) => [name, {name, maxConnections: 64}]),
		),
		bounds: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 1_048_576,
			headerTimeoutMs: 2000,
			idleTimeoutMs: 5000,
		},
		routes: Array.from({length: routeCount}, (_, index) => ({
			name: toRouteName(drawName()),
			host: `${drawName()}.example`,
			pathPrefix: `/${drawName()}/`,
			kind: 'idempotent' as const,
			timeoutMs: 1000 + index,
			latencyTargetMs: 300,
			eventGapTargetMs: 200,
			priority: index % 3,
			targets: [
				{service: services[index % services.length]!, weight: 1 + (index % 9)},
			],
			maxAttempts: 3,
			isPublic: false,
			isResumable: false,
		})),
	};
}

const backend: Backend = {
	id: toBackendId('1'),
	service: toServiceName('desk'),
	address: '10.0.0.1:80',
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	models: [],
	slots: 6,
	bornAt: 0,
};

export type TestFollower = ConfigurationFollower & {
	/** Versions in the order in which peers gave them, also those that were not newer. */
	readonly accepted: number[];
	/** Version that the store does not give. */
	announced: number;
	isStoreLoading: boolean;
};

/** A follower whose store gives nothing, so that all comes from peers. */
export function createFollower(): TestFollower {
	const configurations = new BehaviorSubject<RoutingConfiguration | undefined>(
		undefined,
	);
	const readVersion = () => configurations.value?.version ?? -1;
	const follower: TestFollower = {
		configurations,
		accepted: [],
		announced: 7,
		isStoreLoading: false,
		readAt: readClock,
		needsPeers: () => follower.announced > readVersion(),
		isLoading: () => follower.isStoreLoading,
		acceptVersion: () => undefined,
		findAnnouncer: () => undefined,
		acceptConfiguration(configuration) {
			follower.accepted.push(configuration.version);
			if (configuration.version > readVersion()) {
				configurations.next(configuration);
			}
		},
	};
	return follower;
}

export const createFleet = () =>
	new Fleet({
		dataCentre: toDataCentreId('a'),
		logger: silentLogger,
		readClock,
		countGateways: () => 3,
		readLinkDelayMs: () => 0,
	});

/** What passes over the links of all peers of one test. */
export type LinkRecord = {
	inFlight: number;
	maxInFlight: number;
	begun: number;
	/** Steady-clock times at which large answers had been passed on whole, in milliseconds. */
	readonly endedAt: number[];
};

export const createLinkRecord = (): LinkRecord => ({
	inFlight: 0,
	maxInFlight: 0,
	begun: 0,
	endedAt: [],
});

export type SlowPeerOptions = {
	readonly record: LinkRecord;
	readonly lifeCycle: LifeCycle;
	/** Time for which a large answer is under way, in milliseconds. */
	readonly answerMs: number;
	/** Time for which an answer without a configuration is held up, in milliseconds. */
	readonly smallAnswerDelayMs?: number;
	/** `stall` passes on one piece of a large answer, `trickle` a byte in 100 ms. */
	readonly fault?: 'stall' | 'trickle';
	readonly onLargeAnswer?: () => void;
};

export type SlowPeer = {
	readonly address: string;
	readonly follower: TestFollower;
	readonly fleet: Fleet;
};

/** Starts a peer that has a list, and no configuration before its follower gets one. */
export async function startSlowPeer(
	options: SlowPeerOptions,
): Promise<SlowPeer> {
	const {lifeCycle} = options;
	const follower = createFollower();
	const fleet = createFleet();
	fleet.replace([backend], readClock());
	const refresh = setInterval(() => {
		fleet.apply([], readClock());
	}, 50);
	lifeCycle.register(() => {
		clearInterval(refresh);
	});
	const sync = new PeerSync({
		follower,
		fleet,
		listPeers: () => [],
		isStopping: () => false,
		lifeCycle,
		logger: silentLogger,
		readClock,
	});
	const port = await pickPort();
	await listenForPeers(
		`127.0.0.1:${port}`,
		{
			answer: (query) => sync.answer(query),
			acceptPing: () => undefined,
			acceptPermitMessage: () => undefined,
		},
		lifeCycle,
		silentLogger,
	);
	const address = await startRelay(port, options);
	return {address, follower, fleet};
}

async function startRelay(
	port: number,
	options: SlowPeerOptions,
): Promise<string> {
	const server = createServer((client) => {
		const upstream = connect(port, '127.0.0.1');
		const parts: Buffer[] = [];
		const closing = new AbortController();
		upstream.on('error', () => client.destroy());
		client.on('error', () => undefined);
		client.on('close', () => {
			closing.abort();
			upstream.destroy();
		});
		client.pipe(upstream);
		upstream.on('data', (part) => parts.push(part));
		upstream.on('end', () => {
			const answer = Buffer.concat(parts);
			if (answer.length > largeAnswerBytes) {
				void sendLarge(answer, options, closing.signal, (piece) => {
					client.write(piece);
				});
			} else {
				setTimeout(() => {
					client.end(answer);
				}, options.smallAnswerDelayMs ?? 0);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	options.lifeCycle.register(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function sendLarge(
	answer: Buffer,
	{record, answerMs, fault, onLargeAnswer}: SlowPeerOptions,
	signal: AbortSignal,
	write: (piece: Buffer) => void,
) {
	if (signal.aborted) {
		return;
	}

	record.begun++;
	record.inFlight++;
	// The client closes the connection at the end of the answer, or when it gives it up.
	signal.addEventListener('abort', () => {
		record.inFlight--;
	});
	record.maxInFlight = Math.max(record.maxInFlight, record.inFlight);
	onLargeAnswer?.();
	const isTrickle = fault === 'trickle';
	const pieceBytes = isTrickle ? 1 : Math.ceil(answer.length / piecesPerAnswer);
	const pauseMs = isTrickle ? 100 : answerMs / piecesPerAnswer;
	let sent = 0;
	while (!signal.aborted && sent < answer.length) {
		if (fault !== 'stall' || sent === 0) {
			write(answer.subarray(sent, sent + pieceBytes));
			sent += pieceBytes;
		}

		// Pieces are sent one after the other.

		await wait(pauseMs);
	}

	if (sent >= answer.length) {
		record.endedAt.push(readClock());
	}
}
