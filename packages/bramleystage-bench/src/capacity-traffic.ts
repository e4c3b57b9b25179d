/**
 * Measures the control traffic of running entries and agents on idle sites of
 * three sizes, as reported by their metrics, and compares those metrics with the
 * bytes that cross a socket.
 */
import {connect, createServer} from 'node:net';
import {
	createFailure,
	createLogger,
	encodeFrame,
	type Hello,
	listenForSessions,
	openSession,
	parseAddress,
	protocolVersion,
	sendHttpRequest,
	type SessionTiming,
	startServer,
	toDataCentreId,
	toHostId,
	toIncarnation,
	toSessionNumber,
	TrafficMeter,
	waitFor,
} from 'bramleystage';
import {type Deployment, deployments, startSite} from 'bramleystage-site';
import {computeFit, type LinearFit} from './linear-fit.js';

const settleMs = 3000;
const measureMs = 5000;
const msPerSecond = 1000;

const controlPattern =
	/^bramleystage_session_sent_bytes_total\{kind="control"\} (?<bytes>\d+)/mv;

async function readControlBytes(operatorAddress: string): Promise<number> {
	const answer = await sendHttpRequest({
		method: 'GET',
		url: `http://${operatorAddress}/metrics`,
		timeoutMs: 5000,
	});
	const text = answer.isOk() ? answer.value.body.toString() : '';
	return Number(controlPattern.exec(text)?.groups?.bytes ?? Number.NaN);
}

/** Creates a deployment with a number of engines, which repeat the sample layer ranges. */
function createDeployment(engineCount: number): Deployment {
	const {kaleli} = deployments;
	const engines = Array.from({length: engineCount}, (_, index) => ({
		...kaleli.engines[index % kaleli.engines.length]!,
		host: toHostId(`engine-${index + 1}`),
	}));
	return {...kaleli, engines};
}

/** Measures the control bytes per second that one entry and one agent send. */
async function measureIdleSite(
	engineCount: number,
): Promise<{entry: number; agent: number; agents: number}> {
	const site = await startSite(
		createDeployment(engineCount),
		createLogger('error', {}),
	);
	await waitFor(settleMs);
	const addresses = [site.entries[0]!, [...site.agents.values()][0]!].map(
		({operatorAddress}) => operatorAddress,
	);
	const read = async () =>
		Promise.all(addresses.map(async (address) => readControlBytes(address)));
	const before = await read();
	await waitFor(measureMs);
	const after = await read();
	await site.stop();
	const [entry = 0, agent = 0] = after.map(
		(bytes, index) => ((bytes - before[index]!) * msPerSecond) / measureMs,
	);
	return {entry, agent, agents: site.agents.size};
}

/** Measures control traffic in bytes per second by number of agents, with 2 entries. */
export async function measureControlTraffic(): Promise<
	Record<'entry' | 'agent', LinearFit>
> {
	const results = [];
	for (const engineCount of [6, 18, 36]) {
		// eslint-disable-next-line no-await-in-loop -- one site at a time
		results.push(await measureIdleSite(engineCount));
	}

	return {
		entry: computeFit(
			results.map(({agents, entry}) => ({size: agents, value: entry})),
		),
		agent: computeFit(
			results.map(({agents, agent}) => ({size: agents, value: agent})),
		),
	};
}

const meterHeartbeatMs = 20;
const meterDurationMs = 500;

/** Returns the ratio of the bytes that a meter counted to those that crossed a socket. */
export async function measureMeterAccuracy(): Promise<number> {
	const timing: SessionTiming = {
		heartbeatMs: meterHeartbeatMs,
		idleHeartbeatMs: meterHeartbeatMs,
		silenceMs: 10_000,
		handshakeMs: 1000,
	};
	const identity = {
		host: toHostId('a'),
		dataCentre: toDataCentreId('a'),
		incarnation: toIncarnation('a'),
	};
	const describeSelf = () => ({leaving: false});
	const listener = await listenForSessions({
		address: '127.0.0.1:0',
		welcome: {type: 'welcome', role: 'agent', ...identity},
		timing,
		describeSelf,
		check: () => undefined,
		onSession() {
			// The session carries only heartbeats.
		},
	});
	const hello: Hello = {
		type: 'hello',
		version: protocolVersion,
		deployment: 'bench',
		role: 'entry',
		session: toSessionNumber(1),
		...identity,
	};
	const proxy = await startCountingProxy(listener.address);
	const meter = new TrafficMeter();
	const session = await openSession(proxy.address, hello, timing);
	session.start({timing, describeSelf, meter});
	await waitFor(meterDurationMs);
	session.close(createFailure('stopping', 'The bench has ended.'));
	await waitFor(meterHeartbeatMs);
	const socketBytes = proxy.readBytes() - encodeFrame(hello).length;
	await listener.close();
	proxy.close();
	return meter.control.bytes / socketBytes;
}

/** Starts a TCP proxy that counts the bytes it forwards to its target. */
async function startCountingProxy(target: string) {
	let bytes = 0;
	const server = createServer((clientSocket) => {
		const {host, port} = parseAddress(target);
		const targetSocket = connect({host, port});
		clientSocket.on('data', (chunk) => {
			bytes += chunk.length;
		});
		clientSocket.pipe(targetSocket).pipe(clientSocket);
		clientSocket.on('error', () => targetSocket.destroy());
		targetSocket.on('error', () => clientSocket.destroy());
	});
	const address = await startServer(server, '127.0.0.1:0');
	return {
		address,
		readBytes: () => bytes,
		close() {
			server.close();
		},
	};
}
