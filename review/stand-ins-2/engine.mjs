/**
 * Stand-in for an engine: a model engine that holds all layers it is ordered to, or a
 * server of a plain service. It registers itself in the store. The parent process
 * controls it over the IPC channel with `{set: {...}}` and gets a message for each run.
 *
 * Settings (first argument, JSON): id, service, zone, kind (absent for plain services),
 * store, slots; events and eventMs of a stream; workMs and partMs, the times before the
 * first and the second part of a plain answer; unframedEvery: one of so many answers has
 * neither a length nor chunks, and ends with its connection (none if absent).
 */
/* eslint-disable camelcase, no-await-in-loop, unicorn/no-process-exit -- The platform's fields are written as its pages spell them; events follow each other; this is a program. */
import http from 'node:http';
import process from 'node:process';

const settings = JSON.parse(process.argv[2]);
const heartbeatMs = 1200;
const born = Date.now();
const state = {
	state: 'ready',
	orders: 0,
	...settings,
};
let beats = 0;
let running = 0;
let answers = 0;
let address = '';

function buildEntry() {
	return {
		service: settings.service,
		address,
		zone: settings.zone,
		version: 'v1',
		slots: settings.slots ?? 100,
		state: state.state,
		cold_remaining_ms: 0,
		sequence: ++beats,
		born,
		...(settings.kind && {
			kind: settings.kind,
			stage: 'mixed',
			models: [{name: 'guide', version: 1, adapters: []}],
			...(state.layers && {layers: {...state.layers, version: 1}}),
		}),
	};
}

/** Writes the engine's entry to the store; resolves when the store has accepted it. */
async function register() {
	const key = Buffer.from(settings.id);
	const content = Buffer.concat([
		Buffer.from([key.length]),
		key,
		Buffer.from(JSON.stringify(buildEntry())),
	]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	const [host, port] = settings.store.split(':');
	const request = http.request({
		host,
		port,
		method: 'POST',
		path: '/log-append?topic=keyed.servers&part=0',
		agent: false,
		timeout: 1000,
	});
	return new Promise((resolve) => {
		request.on('error', resolve);
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('response', (response) => {
			response.resume();
			resolve();
		});
		request.end(Buffer.concat([length, content]));
	});
}

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

const waitFor = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

function sendReport(response) {
	response.writeHead(200, {'content-type': 'application/json'}).end(
		JSON.stringify({
			born,
			stage: 'mixed',
			kind: settings.kind,
			models: [{name: 'guide', version: 1, adapters: []}],
			busy: false,
			sequence: state.orders,
			...(state.layers && {layers: {...state.layers, version: 1}}),
			queued: 0,
			running,
			kv_used: 0,
			kv_total: 1_000_000,
			handles: 0,
			pace: 1,
			stalled: [],
		}),
	);
}

async function takeOrder(request, response) {
	const order = JSON.parse(await readBody(request));
	if (order.operation !== 'place') {
		response.writeHead(404).end();
	} else if (order.expect !== undefined && order.expect !== state.orders) {
		response.writeHead(409).end();
	} else {
		state.orders++;
		response.writeHead(202).end();
		await waitFor(settings.loadMs ?? 200);
		state.layers = {source: order.source, to: order.to};
		register();
	}
}

/** Runs a request; the answer is a stream for a model, else a JSON body in two parts. */
async function run(request, response, body) {
	const id = request.headers['x-bramleystage-request-id'];
	const head = {
		'x-bramleystage-request-id': id,
		'x-bramleystage-response-stamp': `stamp.${settings.id}.${id}`,
		'x-bramleystage-engine-load': `${running},0,${settings.slots ?? 100}`,
	};
	running++;
	const isFramed =
		settings.unframedEvery === undefined ||
		++answers % settings.unframedEvery !== 0;
	process.send({
		run: id,
		isFramed,
		engine: settings.id,
		method: request.method,
		target: request.url,
		lastEvent: request.headers['last-event-id'],
		body: body.length,
	});
	response.on('close', () => {
		running--;
	});
	if (!isFramed) {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
	}

	if (settings.kind) {
		response.writeHead(200, {...head, 'content-type': 'text/event-stream'});
		const from = Number(request.headers['last-event-id'] ?? 0);
		for (let event = from + 1; event <= state.events; event++) {
			if (response.destroyed) {
				return;
			}

			response.write(`id: ${event}\ndata: piece-${event}\n\n`);
			await waitFor(state.eventMs);
		}
	} else {
		await waitFor(state.workMs ?? 0);
		response.writeHead(200, {...head, 'content-type': 'text/plain'});
		response.write('first part;');
		await waitFor(state.partMs ?? 0);
		response.write('last part.');
	}

	if (!response.destroyed) {
		process.send({done: id, engine: settings.id});
		response.end();
	}
}

/** Reports that the engine leaves, serves on for a while after the store has accepted that, and ends. */
async function stopAsPlanned({serveMs}) {
	state.state = 'draining';
	await register();
	process.send({left: settings.id});
	await waitFor(serveMs);
	process.exit(0);
}

const server = http.createServer(async (request, response) => {
	const expected = request.headers['x-bramleystage-expect-instance'];
	if (request.url === '/report') {
		sendReport(response);
		return;
	}

	if (expected !== undefined && expected !== settings.id) {
		request.resume();
		response.writeHead(421, {'x-bramleystage-not-executed': '1'}).end();
		return;
	}

	if (request.url === '/order') {
		await takeOrder(request, response);
		return;
	}

	if (request.url === '/health') {
		response
			.writeHead(state.state === 'ready' ? 200 : 503, {
				'x-bramleystage-instance-id': settings.id,
			})
			.end();
		return;
	}

	const body = await readBody(request);
	await run(request, response, body);
});

process.on('message', (message, socket) => {
	if (message === 'connection') {
		if (socket) {
			server.emit('connection', socket);
			socket.resume();
		}

		return;
	}

	const {set, leave} = message;
	if (set) {
		Object.assign(state, set);
	}

	if (leave) {
		stopAsPlanned(leave);
	}
});
process.on('disconnect', () => {
	process.exit(0);
});

function start(listenAddress) {
	address = listenAddress;
	register();
	setInterval(register, heartbeatMs);
	process.send({address});
}

if (settings.passedAddress) {
	// The supervisor accepts the connections.
	start(settings.passedAddress);
} else {
	server.listen(settings.port ?? 0, '127.0.0.1', () => {
		start(`127.0.0.1:${server.address().port}`);
	});
}
