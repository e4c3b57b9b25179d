/* eslint-disable no-await-in-loop, camelcase -- Events follow each other; names of the platform are kept. */
/** A model engine as the platform's pages describe it: reports, place orders and streams. */
import {once} from 'node:events';
import http from 'node:http';
import {delay} from './site.mjs';

const eventCount = 20;
const eventIntervalMs = 20;
/** Time that an engine takes for an order, whatever its size, in milliseconds. */
const loadMs = 300;

async function readText(request) {
	let text = '';
	request.setEncoding('utf8');
	for await (const piece of request) {
		text += piece;
	}

	return text;
}

/** Whether an engine holds the part of a path that names its address. */
function isHeld(path, address, layers) {
	const part = path
		.split(',')
		.find((item) => item.startsWith(`${address}=`))
		?.split('=')[1];
	const [from, to] = (part ?? '').split('-').map(Number);
	return layers !== undefined && layers.from <= from && layers.to >= to;
}

/** Starts an engine of a kind with some memory and layers of a size, both in MB. */
export async function startEngine(
	record,
	{id, service, kind, megabytes, layerMegabytes, model, port = 0},
) {
	const born = Date.now();
	let layers;
	let isBusy = false;
	let sequence = 0;
	const engine = {id, service, kind, hasCrashed: false, orders: []};

	const report = () => ({
		born,
		stage: 'mixed',
		models: [{name: model, version: 1, adapters: []}],
		busy: isBusy,
		sequence,
		queued: 0,
		running: 0,
		kv_used: 0,
		kv_total: 90_000,
		handles: 0,
		kind,
		pace: 1,
		stalled: [],
		...(layers && {layers: {source: layers.from, to: layers.to, version: 1}}),
	});

	const acceptOrder = async (order, response) => {
		if (order.operation !== 'place') {
			response.writeHead(404).end();
			return;
		}

		if (isBusy || (order.expect ?? sequence) !== sequence) {
			response.writeHead(409).end();
			return;
		}

		const next = {from: order.source, to: order.to};
		const neededMegabytes = (next.to - next.from) * layerMegabytes;
		const isTooLarge = neededMegabytes > megabytes;
		record.write(
			id,
			`(${service}, ${kind}, ${megabytes} MB, layers of ${layerMegabytes} MB)`,
			`is ordered to hold ${next.from}-${next.to}`,
			isTooLarge ? `= ${neededMegabytes} MB: TOO LARGE` : '',
		);
		engine.orders.push({...next, isTooLarge});
		sequence++;
		response.writeHead(202).end();
		if (isTooLarge) {
			record.write(id, 'crashes');
			engine.hasCrashed = true;
			setImmediate(engine.close);
			return;
		}

		isBusy = true;
		await delay(loadMs);
		isBusy = false;
		layers = next;
	};

	const stream = async (request, response) => {
		const requestId = request.headers['x-bramleystage-request-id'];
		const isHere = request.headers['x-bramleystage-expect-instance'] === id;
		const path = request.headers['x-bramleystage-hop-count'] ?? '';
		if (!isHere || !isHeld(path, engine.address, layers)) {
			response.writeHead(421, {'x-bramleystage-not-executed': '1'}).end();
			return;
		}

		response.writeHead(200, {
			'content-type': 'text/event-stream',
			'x-bramleystage-request-id': requestId,
			'x-bramleystage-response-stamp': `stamp.${id}`,
		});
		const from = Number(request.headers['last-event-id'] ?? 0);
		for (let event = from + 1; event <= eventCount; event++) {
			response.write(`id: ${event}\ndata: token\n\n`);
			await delay(eventIntervalMs);
		}

		response.end();
	};

	const server = http.createServer(async (request, response) => {
		response.on('error', () => undefined);
		const text = await readText(request).catch(() => undefined);
		if (text === undefined) {
			return;
		}

		if (request.url === '/report') {
			response
				.writeHead(200, {'content-type': 'application/json'})
				.end(JSON.stringify(report()));
		} else if (request.url === '/order') {
			const expected = request.headers['x-bramleystage-expect-instance'];
			if (expected !== undefined && expected !== id) {
				record.write(id, 'rejects an order that is for', expected);
				response.writeHead(421).end();
				return;
			}

			await acceptOrder(JSON.parse(text), response);
		} else {
			await stream(request, response);
		}
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return Object.assign(engine, {
		address: `127.0.0.1:${server.address().port}`,
		port: server.address().port,
		getLayers: () => layers,
		/** The engine's entry in the store's list. */
		buildEntry: () => ({
			...report(),
			service,
			address: engine.address,
			zone: 'izmir-a',
			version: 'v1',
			slots: 192,
			state: 'ready',
			cold_remaining_ms: 0,
		}),
		/** Ends the engine at once: nothing listens at its address any more. */
		close() {
			server.close();
			server.closeAllConnections();
		},
	});
}
