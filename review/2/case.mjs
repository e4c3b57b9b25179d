/* eslint-disable no-await-in-loop -- Callers and servers take their steps one after the other. */
/**
 * Three gateways before eight plain servers, and ticket windows that book seats. With
 * trouble, one server fails part of its requests while it is listed as ready: it works
 * on them and answers 503 without `X-Bramleystage-Not-Executed`, so that it promises
 * nothing. Counts the bookings that ran although their caller was promised that they
 * have not, and the seats that were booked twice because the caller believed it.
 */
import {fileURLToPath} from 'node:url';
import {keepConnection, sendRequest} from '../stand-ins/caller.mjs';
import {
	buildPlainEntry,
	plainConfiguration,
} from '../stand-ins/configuration.mjs';
import {startPlainServer} from '../stand-ins/plain-server.mjs';
import {
	delay,
	isTroubled,
	registerServer,
	runCase,
	startSite,
	waitForReady,
} from '../stand-ins/site.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));
const windowsPerGateway = 5;
const serverCount = 8;
const workMs = 21;
const pauseMs = 100;
const lengthMs = 14_000;
/** When the server begins to fail, and for how long, in milliseconds. */
const trouble = {at: 3000, forMs: 6500};
/** Each how many requests the failing server fails one: a share of 0.4. */
const failingPattern = [true, false, true, false, false];
/** Statuses that promise that a request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

async function main() {
	const site = await startSite(folder, {
		configuration: plainConfiguration({timeoutMs: 600, targetMs: 121}),
		gatewayCount: 3,
	});
	const {record, gateways, store} = site;
	const startedAt = performance.now();
	let failed = 0;
	let servers = [];
	const failAnswer = async ({response, requestId, count}) => {
		const sinceMs = performance.now() - startedAt - trouble.at;
		const isFailing =
			isTroubled &&
			sinceMs >= 0 &&
			sinceMs < trouble.forMs &&
			failingPattern[count % failingPattern.length];
		if (!isFailing) {
			return false;
		}

		failed++;
		const {id, runs} = servers[0];
		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
		record.write(id, 'runs', requestId, 'and fails: 503');
		await delay(workMs);
		const body = 'The booking was written, but its receipt was not.';
		response
			.writeHead(503, {
				'content-type': 'text/plain',
				'content-length': body.length,
				'x-bramleystage-request-id': requestId,
				'x-bramleystage-response-stamp': `stamp.${id}`,
			})
			.end(body);
		return true;
	};

	for (let index = 0; index < serverCount; index++) {
		const id = `s${index}`;
		const server = await startPlainServer(record, {
			id,
			workMs,
			...(index === 0 && {answer: failAnswer}),
		});
		servers = [...servers, server];
		registerServer(store, id, () => buildPlainEntry(server.address, 1));
	}

	await waitForReady(gateways);
	const endsAt = startedAt + lengthMs;
	const counts = new Map();
	let brokenPromises = 0;
	let doubleBookings = 0;
	const countRuns = (id) =>
		servers.reduce((sum, {runs}) => sum + (runs.get(id) ?? 0), 0);
	const book = async (gateway, id, agent) => {
		const answer = await sendRequest(gateway.address, {
			id,
			target: '/book/seat',
			body: 'seat=12',
			agent,
			deadlineMs: 600,
		});
		const outcome = answer.isWhole ? answer.status : 'closed';
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
		const ran = countRuns(id);
		const isPromise = answer.isWhole && promises.has(answer.status);
		brokenPromises += isPromise && ran > 0 ? 1 : 0;
		record.write(
			gateway.name,
			'answers',
			id,
			outcome,
			`stamp=${answer.stamp ?? ''}`,
			`runs=${ran}`,
			isPromise && ran > 0 ? 'PROMISE BROKEN' : '',
		);
		return {isPromise, ran};
	};

	const runWindow = async (gateway, number) => {
		const agent = keepConnection();
		for (let count = 0; performance.now() < endsAt; count++) {
			const id = `${gateway.name}-${number}-${count}`;
			const first = await book(gateway, id, agent);
			if (first.isPromise) {
				const second = await book(gateway, `${id}-again`, false);
				doubleBookings += first.ran + second.ran > 1 ? 1 : 0;
			}

			await delay(pauseMs);
		}
	};

	await Promise.all(
		gateways.flatMap((gateway) =>
			Array.from({length: windowsPerGateway}, async (_, number) =>
				runWindow(gateway, number),
			),
		),
	);
	record.write(
		`summary: ${failed} requests ran and were answered 503 by their server,`,
		`answers ${JSON.stringify(Object.fromEntries(counts))},`,
		`ran although promised otherwise: ${brokenPromises}, seats booked twice: ${doubleBookings}`,
	);
	for (const server of servers) {
		server.close();
	}

	await site.close();
	return brokenPromises > 0;
}

await runCase(main);
