/* eslint-disable no-await-in-loop -- Callers and servers take their steps one after the other. */
/**
 * Three gateways before three plain servers, and ticket windows that keep their
 * connections open. With trouble, one of the servers spoils a share of its answers: a
 * byte in the name of a header is a space. Counts the requests that a gateway had
 * passed from a kept connection to a sound server when the connection was closed
 * without an answer.
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
const windowsPerGateway = 18;
const workMs = 100;
const pauseMs = 40;
const lengthMs = 16_000;
/** When the server begins to spoil answers, and for how long, in milliseconds. */
const trouble = {at: 5000, forMs: 5500};
/** Share of its answers that it spoils. */
const spoiledShare = 0.02;
/** Requests that a machine may lose by the rule. */
const allowedLosses = 3;

async function main() {
	const site = await startSite(folder, {
		configuration: plainConfiguration({timeoutMs: 600, targetMs: 121}),
		gatewayCount: 3,
	});
	const {record, gateways, store} = site;
	const startedAt = performance.now();
	let spoiled = 0;
	let answered = 0;
	/** Answers with a head in which one byte of a header's name is wrong. */
	const spoilAnswer = async ({response, request, requestId}) => {
		const sinceMs = performance.now() - startedAt - trouble.at;
		if (!isTroubled || sinceMs < 0 || sinceMs > trouble.forMs) {
			return false;
		}

		answered++;
		if (answered * spoiledShare < spoiled + 1) {
			return false;
		}

		spoiled++;
		record.write('s3 runs', requestId, 'and spoils its answer');
		await delay(workMs);
		const body = JSON.stringify({server: 's3', request: requestId});
		response.destroyed = true;
		request.socket.end(
			'HTTP/1.1 200 OK\r\n' +
				`X-Bramleystage-Request-Id: ${requestId}\r\n` +
				'X-Bramleystage-Response-Stamp: stamp.s3\r\n' +
				'Content Type: application/json\r\n' +
				`Content-Length: ${body.length}\r\n` +
				`Connection: close\r\n\r\n${body}`,
		);
		return true;
	};

	const servers = [];
	for (const id of ['s1', 's2', 's3']) {
		const server = await startPlainServer(record, {
			id,
			workMs,
			...(id === 's3' && {answer: spoilAnswer}),
		});
		servers.push(server);
		registerServer(store, id, () => buildPlainEntry(server.address, 1));
	}

	const sound = servers.slice(0, 2);
	await waitForReady(gateways);
	record.write('traffic begins');
	const endsAt = startedAt + lengthMs;
	const losses = new Map(gateways.map(({name}) => [name, 0]));
	const counts = new Map();
	const runWindow = async (gateway, number) => {
		const agent = keepConnection();
		await delay(number * 8);
		for (let count = 0; performance.now() < endsAt; count++) {
			const id = `${gateway.name}-${number}-${count}`;
			const answer = await sendRequest(gateway.address, {
				id,
				target: '/book/seat',
				body: 'seat=12',
				agent,
				deadlineMs: 600,
			});
			const outcome = answer.isWhole ? answer.status : 'closed';
			counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
			const ranAt = sound.find(({runs}) => runs.has(id))?.id;
			if (!answer.isWhole && answer.isKept && ranAt) {
				losses.set(gateway.name, losses.get(gateway.name) + 1);
			}

			record.write(
				gateway.name,
				'answers',
				id,
				outcome,
				answer.isKept ? 'kept' : 'new',
				ranAt ? `ran at ${ranAt}` : '',
			);
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
	const ends = gateways.reduce((sum, gateway) => sum + gateway.ends.length, 0);
	const worst = Math.max(...losses.values());
	record.write(
		`summary: ${spoiled} answers spoiled, ${ends} gateways ended by themselves,`,
		`answers ${JSON.stringify(Object.fromEntries(counts))},`,
		`lost from kept connections at sound servers ${JSON.stringify(Object.fromEntries(losses))}`,
	);
	for (const server of servers) {
		server.close();
	}

	await site.close();
	return worst > allowedLosses;
}

await runCase(main);
