/** Starts a small deployment of separate processes: the store, engines and gateways of the deploy file. */
/* eslint-disable camelcase, no-await-in-loop -- The platform's fields are written as its pages spell them; waits poll. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const here = path.dirname(fileURLToPath(import.meta.url));
const root = path.resolve(here, '../..');

export const waitFor = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** Waits until a condition holds; returns whether it came to hold in time. */
export async function waitUntil(isMet, timeoutMs) {
	const endAt = performance.now() + timeoutMs;
	while (performance.now() < endAt) {
		if (await isMet()) {
			return true;
		}

		await waitFor(50);
	}

	return false;
}

/** Ports that were given out, so that none is given out twice. */
const pickedPorts = new Set();

export async function pickPort() {
	for (;;) {
		const server = net.createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address();
		server.close();
		await once(server, 'close');
		if (!pickedPorts.has(port)) {
			pickedPorts.add(port);
			return port;
		}
	}
}

/** Reads the command that starts a gateway from the deploy file. */
function readGatewayCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<run>.*)"$/mv.exec(text).groups.run.split(' ');
}

export const modelService = {
	name: 'models',
	health_path: '/health',
	max_connections: 1000,
	protocol: 'h1',
	tls: false,
	engine: {
		slots: 100,
		kv_token_bytes: 8000,
		stride: 2,
		models: [{name: 'guide', pace: 1, load_s: 0.2}],
		step_ms: 1,
		read_per_s: 100_000,
		layers: 1,
		layer_mb: 800,
		activation_bytes: 1000,
		pipe_mbps: 1000,
		kinds: [{name: 'big', megabytes: 2000, pace: 1, read_factor: 1}],
	},
};

const deskService = {
	name: 'desk',
	health_path: '/health',
	max_connections: 1000,
};

const buildRoute = (name, service, more) => ({
	name,
	host: 'site.example',
	path_prefix: `/${name}/`,
	timeout_ms: 20_000,
	target_latency_ms: 500,
	target_gap_ms: 200,
	priority: 1,
	service,
	max_attempts: 2,
	no_auth: false,
	session_affinity: service === 'models',
	resumable: false,
	...more,
});

export const buildConfiguration = (version, more = {}) => ({
	version,
	routes: [
		buildRoute('chat', 'models', {kind: 'streaming', resumable: true}),
		buildRoute('look', 'desk', {kind: 'idempotent', target_latency_ms: 400}),
		buildRoute('book', 'desk', {
			kind: 'non_idempotent',
			max_attempts: 1,
			target_latency_ms: 400,
		}),
	],
	services: [modelService, deskService],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 5000,
		idle_timeout_ms: 10_000,
	},
	tenants: [{name: 'castle', api_keys: ['key-castle'], priority: 1}],
	...more,
});

function formatSettings({name, zone, store, seeds, ports, isFirstStart}) {
	return `
node_name = "${name}"
role = "gateway"
machine_class = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = "${zone}"
region = "ege"
port_range = [${ports.operations - 1}, ${ports.operations}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${isFirstStart}
heartbeat_ms = 1200
[listen]
front = "127.0.0.1:${ports.front}"
readiness_addr = "127.0.0.1:${ports.ready}"
control = "127.0.0.1:${ports.control}"
[fault_tolerance]
machines = 1
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 196
stall_ms = 2000
[platform]
address = "${store}"
form = "log"
parts = 24
min_ttl_ms = 1000
`;
}

/** Counts requests, so that each has an id of its own. */
let requestCount = 0;

export class Site {
	/** What engines ran, in order: `{run, engine, lastEvent}` and `{done, engine}`. */
	runs = [];
	engines = new Map();
	gateways = [];
	#children = new Set();
	#directory = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#startedAt = performance.now();

	constructor(recordFile) {
		this.recordFile = recordFile;
		writeFileSync(recordFile, '');
		process.once('SIGTERM', async () => {
			await this.close();
			process.exit(2);
		});
	}

	/** Appends a line to the record. */
	record(text) {
		const at = (performance.now() - this.#startedAt).toFixed(0).padStart(6);
		appendFileSync(this.recordFile, `${at} ms  ${text}\n`);
	}

	async startStore() {
		const {child, address} = await this.#startStandIn('store.mjs', []);
		this.store = child;
		this.storeAddress = address;
		return child;
	}

	append(topic, key, value) {
		this.store.send({append: {topic, key, value}});
	}

	configure(version, more) {
		this.append('keyed.op', 'config', buildConfiguration(version, more));
		this.record(`operator: version ${version} is acknowledged`);
	}

	/** Starts an engine; a port of an earlier one can be named. */
	async startEngine(settings, program = 'engine.mjs') {
		const {child, address} = await this.#startStandIn(program, [
			JSON.stringify({store: this.storeAddress, zone: 'a', ...settings}),
		]);
		const engine = {
			id: settings.id,
			service: settings.service,
			child,
			address,
			port: Number(address.split(':')[1]),
			kill() {
				child.kill('SIGKILL');
			},
			/** Has the engine leave as planned: it serves on for a time after the store has accepted its report, and ends. */
			leave(serveMs) {
				child.send({leave: {serveMs}});
			},
			/** Has the supervisor of the engine kill it. */
			crash() {
				child.send({crash: true});
			},
		};
		child.on('message', (message) => {
			this.runs.push({...message, at: performance.now()});
			if (message.run) {
				this.record(
					`engine ${message.engine}: runs ${message.run}${message.lastEvent ? ` after event ${message.lastEvent}` : ''}${message.isFramed ? '' : ', no length and no chunks'}`,
				);
			} else if (message.left) {
				this.record(
					`engine ${message.left}: the store has accepted that it is draining`,
				);
			} else if (message.done) {
				this.record(
					`engine ${message.engine}: has written the whole answer to ${message.done}`,
				);
			}
		});
		this.engines.set(settings.id, engine);
		return engine;
	}

	/** Starts a gateway by the command of the deploy file. */
	async startGateway(
		name,
		{zone = 'a', ports, isFirstStart = true, seeds} = {},
	) {
		const front = ports?.front ?? (await pickPort());
		const used = ports ?? {
			front,
			ready: await pickPort(),
			control: await pickPort(),
			operations: await pickPort(),
		};
		const settingsPath = path.join(this.#directory, `${name}.toml`);
		writeFileSync(
			settingsPath,
			formatSettings({
				name,
				zone,
				store: this.storeAddress,
				seeds:
					seeds ??
					this.gateways.map((gateway) => `127.0.0.1:${gateway.ports.control}`),
				ports: used,
				isFirstStart,
			}),
		);
		const [program, ...args] = readGatewayCommand();
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			cwd: root,
			env: {PATH: process.env.PATH, BRAMLEYSTAGE_SETTINGS: settingsPath},
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		this.#own(child);
		const gateway = {name, child, ports: used, log: ''};
		child.stdout.on('data', (chunk) => {
			gateway.log += chunk;
		});
		gateway.exited = once(child, 'exit');
		this.gateways.push(gateway);
		return gateway;
	}

	/** Whether a gateway says that it is ready. */
	async isReady({ports}) {
		return new Promise((resolve) => {
			const request = http.get(
				{
					host: '127.0.0.1',
					port: ports.ready,
					path: '/ready',
					agent: false,
					timeout: 500,
				},
				(response) => {
					response.resume();
					resolve(response.statusCode === 200);
				},
			);
			request.on('error', () => {
				resolve(false);
			});
			request.on('timeout', () => {
				request.destroy();
			});
		});
	}

	/** Sends a request; resolves to what the client saw of the answer. */
	async send(
		gateway,
		target,
		{
			method = 'POST',
			headers = {},
			body = 'text',
			agent = false,
			deadlineMs = 20_000,
			id,
			onData,
		} = {},
	) {
		const requestId = id ?? `r${++requestCount}`;
		this.record(
			`client: sends ${requestId} ${method} ${target} to ${gateway.name}`,
		);
		return new Promise((resolve) => {
			const answer = {
				id: requestId,
				status: 0,
				headers: {},
				text: '',
				isComplete: false,
			};
			const finish = (isComplete) => {
				if (answer.isOver) {
					return;
				}

				answer.isOver = true;
				answer.isComplete = isComplete;
				this.record(
					`client: ${requestId} from ${gateway.name} got ${answer.status || 'no answer'}, ${isComplete ? 'complete' : 'broken off'}, ${answer.text.length} bytes`,
				);
				resolve(answer);
			};

			const request = http.request({
				host: '127.0.0.1',
				port: gateway.ports.front,
				path: target,
				method,
				agent,
				headers: {
					host: 'site.example',
					authorization: 'Bearer key-castle',
					'x-bramleystage-request-id': requestId,
					'x-bramleystage-deadline-ms': String(deadlineMs),
					...(target.startsWith('/chat/') && {
						'x-bramleystage-model': 'guide',
						'x-bramleystage-token-counts': '400,160',
					}),
					...headers,
				},
			});
			request.on('error', () => {
				finish(false);
			});
			request.on('response', (response) => {
				answer.status = response.statusCode;
				answer.headers = response.headers;
				response.on('data', (chunk) => {
					answer.text += chunk;
					onData?.(answer);
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					finish(response.complete);
				});
			});
			request.end(method === 'GET' ? undefined : body);
		});
	}

	/** Ends all processes that were started here. */
	async close() {
		const ends = [...this.#children]
			.filter((child) => child.exitCode === null && child.signalCode === null)
			.map(async (child) => {
				const ended = once(child, 'exit');
				child.kill('SIGKILL');
				await ended;
			});
		await Promise.all(ends);
		rmSync(this.#directory, {recursive: true, force: true});
	}

	#own(child) {
		this.#children.add(child);
	}

	async #startStandIn(file, args) {
		const child = spawn(process.execPath, [path.join(here, file), ...args], {
			stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
		});
		this.#own(child);
		const [{address}] = await once(child, 'message');
		return {child, address};
	}
}

/** Lists the ids of the events in a stream's text. */
export const listEventIds = (text) =>
	[...text.matchAll(/^id: (\d+)$/gmv)].map((match) => Number(match[1]));
