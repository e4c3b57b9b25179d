/**
 * Stand-in of the platform. It serves append-only log streams with offsets,
 * long-poll reads, an append rate limit and bounded retention; a host list
 * whose changes become visible after a lag; and a weight store with a rate
 * limit.
 */
import type {IncomingMessage} from 'node:http';
import {parseJson, writeJson} from 'bramleystage';
import * as z from 'zod';
import {PacedLink} from './paced-link.js';
import {
	type RequestHandler,
	serveStandIn,
	type StandIn,
} from './stand-in-server.js';

export type PlatformOptions = {
	readonly address: string;
	readonly appendsPerSecond: number;
	/** Maximum number of records in a stream; older ones are removed. */
	readonly retainedRecords: number;
	/** Time until a change of the host list is visible, in milliseconds. */
	readonly hostLagMs: number;
	readonly weightReadsPerSecond: number;
	/** Bytes of records that all replies together carry in a second; unlimited if undefined. */
	readonly recordBytesPerSecond?: number;
};

export const defaultPlatformOptions: PlatformOptions = {
	address: '127.0.0.1:0',
	appendsPerSecond: 400,
	retainedRecords: 100_000,
	hostLagMs: 500,
	weightReadsPerSecond: 20,
};

const appendSchema = z.object({value: z.unknown()});
const hostSchema = z.object({
	host: z.string(),
	role: z.enum(['entry', 'agent']),
	dataCentre: z.string(),
	address: z.string(),
	state: z.enum(['live', 'leaving']),
});
type Host = z.infer<typeof hostSchema>;

const maxRecordsPerRead = 1000;

/** One stream of the log. */
class LogStream {
	readonly #values: unknown[] = [];
	readonly #waiters = new Set<() => void>();
	#first = 0;

	constructor(private readonly maxRecords: number) {}

	get first(): number {
		return this.#first;
	}

	get next(): number {
		return this.#first + this.#values.length;
	}

	append(value: unknown): number {
		this.#values.push(value);
		if (this.#values.length > this.maxRecords) {
			this.#values.shift();
			this.#first++;
		}

		for (const wake of this.#waiters) {
			wake();
		}

		return this.next - 1;
	}

	/** Resolves at the next append, after `timeoutMs`, or when the connection closes. */
	async waitForAppend(
		timeoutMs: number,
		request: IncomingMessage,
	): Promise<void> {
		await new Promise<void>((resolve) => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiters.delete(wake);
				request.socket.removeListener('close', wake);
				resolve();
			};

			const timer = setTimeout(wake, timeoutMs);
			this.#waiters.add(wake);
			request.socket.once('close', wake);
		});
	}

	read(from: number): Array<{offset: number; value: unknown}> {
		const start = Math.max(from, this.#first);
		return this.#values
			.slice(start - this.#first, start - this.#first + maxRecordsPerRead)
			.map((value, index) => ({offset: start + index, value}));
	}
}

/** Creates a token bucket for events at a rate, with a burst of one second's events. */
export function createRateLimit(perSecond: number): (now: number) => boolean {
	let tokens = perSecond;
	let lastCheckedAt = 0;
	return (now) => {
		tokens = Math.min(
			perSecond,
			tokens + ((now - lastCheckedAt) * perSecond) / 1000,
		);
		lastCheckedAt = now;
		if (tokens < 1) {
			return false;
		}

		tokens--;
		return true;
	};
}

/** Starts the stand-in of the platform. */
export async function startPlatformStandIn(
	options: PlatformOptions = defaultPlatformOptions,
): Promise<StandIn> {
	const streams = new Map<string, LogStream>();
	const hosts = new Map<string, Host>();
	const weights = new Map<string, number>();
	const allowAppend = createRateLimit(options.appendsPerSecond);
	const allowWeightRead = createRateLimit(options.weightReadsPerSecond);

	const link =
		options.recordBytesPerSecond === undefined
			? undefined
			: new PacedLink(options.recordBytesPerSecond);

	const findOrCreateStream = (name: string) => {
		const stream = streams.get(name) ?? new LogStream(options.retainedRecords);
		streams.set(name, stream);
		return stream;
	};

	const handleLogRequest: RequestHandler = async ({
		method,
		url,
		body,
		request,
		response,
	}) => {
		const stream = findOrCreateStream(url.pathname.split('/')[3] ?? '');
		if (method === 'POST') {
			if (!allowAppend(performance.now())) {
				writeJson(response, 429, {error: 'Too many appends.'});
				return;
			}

			const {value} = appendSchema.parse(parseJson(body.toString()));
			writeJson(response, 200, {offset: stream.append(value)});
			return;
		}

		const from = Number(url.searchParams.get('from') ?? 0);
		if (stream.next <= from) {
			const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
			await stream.waitForAppend(waitMs, request);
		}

		const records = stream.read(from);
		const next =
			records.length > 0
				? (records.at(-1)?.offset ?? 0) + 1
				: Math.max(from, stream.first);
		const batch = {first: stream.first, next, records};
		if (link) {
			await link.sendJson(response, batch);
		} else {
			writeJson(response, 200, batch);
		}
	};

	const handleHostRequest: RequestHandler = ({method, url, body, response}) => {
		if (method === 'GET') {
			writeJson(response, 200, {hosts: [...hosts.values()]});
			return;
		}

		const name = decodeURIComponent(url.pathname.split('/')[3] ?? '');
		const host =
			method === 'PUT'
				? hostSchema.parse(parseJson(body.toString()))
				: undefined;
		setTimeout(() => {
			if (host) {
				hosts.set(name, host);
			} else {
				hosts.delete(name);
			}
		}, options.hostLagMs);
		writeJson(response, 200, {});
	};

	const handleWeightRequest: RequestHandler = ({
		method,
		url,
		body,
		response,
	}) => {
		if (!allowWeightRead(performance.now())) {
			writeJson(response, 429, {error: 'Too many reads.'});
			return;
		}

		const name = decodeURIComponent(url.pathname.split('/')[3] ?? '');
		if (method === 'PUT') {
			weights.set(name, Number(body.toString()));
		}

		writeJson(response, 200, {weight: weights.get(name) ?? null});
	};

	return serveStandIn(options.address, async (context) => {
		const {pathname} = context.url;
		if (pathname.startsWith('/v1/logs/')) {
			await handleLogRequest(context);
		} else if (pathname.startsWith('/v1/hosts')) {
			await handleHostRequest(context);
		} else if (pathname.startsWith('/v1/weights/')) {
			await handleWeightRequest(context);
		} else {
			writeJson(context.response, 404, {error: 'No such path.'});
		}
	});
}
