/**
 * The protocol between gateways, with its client for queries (server: peer-server.ts). A
 * gateway that the platform's store does not answer sends one query, on a
 * short-lived connection, for the newest configuration and the list of backend
 * servers. A gateway that follows another keeps its connection open and sends
 * pings (peer-update.ts). All values are framed.
 */
import {
	type Backend,
	encodeValueFrame,
	type Failure,
	type RoutingConfiguration,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {decodeCompressed} from './configuration-codec.js';
import {checkValue, listenForFrames, readFrameBytes} from './peer-frames.js';
import {openPeerSocket, type OpenPeerSocket} from './peer-socket.js';
import {backendSchema, pingSchema} from './peer-update.js';
import {permitMessageSchema} from './permit-messages.js';

const querySchema = z.object({
	/** Version that the sender has; the answer has a configuration only if it is newer. */
	version: z.int(),
	/** Age of the sender's list, in milliseconds, or null if it has none; the answer has a list only if it is newer. */
	listAgeMs: z.number().nullable(),
	/** Whether a configuration may come compressed; absent from gateways of older builds. */
	acceptsCompressed: z.boolean().optional(),
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
	/** Stands in for `configuration` (configuration-codec.ts). */
	compressedConfiguration: z
		.custom<Uint8Array>((value) => value instanceof Uint8Array)
		.optional(),
	list: z
		.object({backends: z.array(backendSchema), ageMs: z.number()})
		.optional(),
});

export const requestSchema = z.union([
	pingSchema,
	permitMessageSchema,
	querySchema,
]);

export type PeerQuery = z.infer<typeof querySchema>;
export type WireAnswer = z.infer<typeof answerSchema>;
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

/** A query that asks for nothing but whether a gateway serves. */
export const emptyQuery: PeerQuery = {
	version: Number.MAX_SAFE_INTEGER,
	listAgeMs: 0,
};

/** Time without a byte after which a query has failed, in milliseconds; peers are within a region. */
const maxSilenceMs = 400;
/** Time after which an answer under way must be worth waiting for, in milliseconds: a change is in force by then. */
export const answerSpanMs = 3000;
/** Time from the first byte of an answer to the check if it is hopeless, in milliseconds. */
const earlyCheckMs = 750;
/** Number of spans within which an answer must be expected to arrive at that check. */
const maxExpectedSpans = 4;
/** Gives an answer its configuration if that came compressed. */
async function decodeAnswer({
	compressedConfiguration,
	...answer
}: WireAnswer): Promise<Result<PeerAnswer, Failure>> {
	if (!compressedConfiguration) {
		return ok(answer);
	}

	const value = await decodeCompressed(compressedConfiguration);
	return value
		.andThen((decoded) => checkValue(decoded, configurationSchema))
		.map((configuration) => ({...answer, configuration}));
}

export type PeerQueryOptions = {
	/** Time after which an answer under way must be worth waiting for, in milliseconds. */
	readonly spanMs?: number;
	/** Delay of the own network link, by which a silence may be longer, in milliseconds. */
	readonly linkDelayMs?: number;
	/** Gives the query up. */
	readonly signal?: AbortSignal;
	readonly openSocket?: OpenPeerSocket;
};

export type PeerQueryFailure = {
	readonly detail: string;
	/** Bytes of the answer that arrived. */
	readonly arrivedBytes: number;
	/** Whether the answer was under way, but too slow to be worth waiting for. */
	readonly isTooSlow: boolean;
};

/**
 * Whether an answer is worth waiting for at the end of a span: if the next span
 * brings as much as this one did, the rest arrives in it. An answer that is asked
 * for anew would not be there sooner.
 */
const isWorthAwaiting = (
	missingBytes: number,
	arrivedInSpanBytes: number,
): boolean => missingBytes <= arrivedInSpanBytes;

/** Whether an answer comes so slowly that another peer is to be queried at once. */
const isHopeless = (
	{missingBytes, arrivedBytes}: {missingBytes: number; arrivedBytes: number},
	elapsedMs: number,
	spanMs: number,
): boolean =>
	(missingBytes / arrivedBytes) * elapsedMs > maxExpectedSpans * spanMs;

/**
 * Sends a query to another gateway and waits for its answer. A peer that is silent
 * or very slow is given up.
 */
export async function sendPeerQuery(
	address: string,
	query: PeerQuery,
	{
		spanMs = answerSpanMs,
		linkDelayMs = 0,
		signal,
		openSocket = openPeerSocket,
	}: PeerQueryOptions = {},
): Promise<Result<PeerAnswer, PeerQueryFailure>> {
	const socket = openSocket(address, signal);
	let answerBytes: number | undefined;
	let spanTimer: NodeJS.Timeout | undefined;
	let earlyTimer: NodeJS.Timeout | undefined;
	const silenceMs = maxSilenceMs + linkDelayMs;
	const answer = await new Promise<Result<WireAnswer, PeerQueryFailure>>(
		(resolve) => {
			const fail = (detail: string, isTooSlow = false) => {
				const arrivedBytes = socket.bytesRead;
				resolve(
					err({
						detail: `${detail} Arrived: ${arrivedBytes} of ${answerBytes ?? 'unknown'} bytes.`,
						arrivedBytes,
						isTooSlow,
					}),
				);
			};

			let beforeSpanBytes = 0;
			spanTimer = setInterval(() => {
				const {bytesRead} = socket;
				const missingBytes =
					(answerBytes ?? Number.POSITIVE_INFINITY) - bytesRead;
				if (!isWorthAwaiting(missingBytes, bytesRead - beforeSpanBytes)) {
					fail(`Too slow in ${spanMs} ms.`, true);
				}

				beforeSpanBytes = bytesRead;
			}, spanMs);
			socket.setTimeout(silenceMs, () => {
				fail(`No byte for ${silenceMs} ms.`);
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
			socket.once('data', (start) => {
				answerBytes = readFrameBytes(start);
				earlyTimer = setTimeout(() => {
					const arrivedBytes = socket.bytesRead;
					const missingBytes =
						(answerBytes ?? Number.POSITIVE_INFINITY) - arrivedBytes;
					if (isHopeless({missingBytes, arrivedBytes}, earlyCheckMs, spanMs)) {
						fail(`Hopelessly slow in ${earlyCheckMs} ms.`, true);
					}
				}, earlyCheckMs);
			});
			listenForFrames(socket, (value) => {
				const checked = value.andThen((decoded) =>
					checkValue(decoded, answerSchema),
				);
				if (checked.isOk()) {
					resolve(ok(checked.value));
				} else {
					fail(checked.error.detail);
				}
			});
		},
	);
	clearInterval(spanTimer);
	clearTimeout(earlyTimer);
	socket.destroy();
	if (answer.isErr()) {
		return err(answer.error);
	}

	const decoded = await decodeAnswer(answer.value);
	return decoded.mapErr(({detail}) => ({
		detail,
		arrivedBytes: socket.bytesRead,
		isTooSlow: false,
	}));
}
