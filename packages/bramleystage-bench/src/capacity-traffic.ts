/**
 * Control traffic of real entries and agents, by their own metrics, at three
 * sizes of an idle site, and the metrics checked against bytes on a socket.
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
	sendHttp,
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
	const answer = await sendHttp({
		method: 'GET',
		url: `http://${operatorAddress}/metrics`,
		timeoutMs: 5000,
	});
	const text = answer.isOk() ? answer.value.body.toString() : '';
	return Number(controlPattern.exec(text)?.groups?.bytes ?? Number.NaN);
}

/** A deployment with so many engines, in the ranges of the sample. */
function createDeployment(engineCount: number): Deployment {
	const {kaleli} = deployments;
	const engines = Array.from({length: engineCount}, (_, index) => ({
		...kaleli.engines[index % kaleli.engines.length]!,
		host: toHostId(`engine-${index + 1}`),
	}));
	return {...kaleli, engines};
}

/** Control bytes a second that one entry and one agent send. */
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

/** Slopes in bytes a second by the number of agents, at 2 entries. */
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

const beatMs = 20;
const meteredMs = 500;

/** Bytes that a meter counted, over the bytes that crossed a socket. */
export async function measureMeterAccuracy(): Promise<number> {
	const timing: SessionTiming = {
		heartbeatMs: beatMs,
		idleHeartbeatMs: beatMs,
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
			// The session only beats.
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
	const counter = await startCounter(listener.address);
	const meter = new TrafficMeter();
	const session = await openSession(counter.address, hello, timing);
	session.start({timing, describeSelf, meter});
	await waitFor(meteredMs);
	session.close(createFailure('stopping', 'The bench is over.'));
	await waitFor(beatMs);
	const crossed = counter.readBytes() - encodeFrame(hello).length;
	await listener.close();
	counter.close();
	return meter.control.bytes / crossed;
}

/** Passes connections on to a target and counts the bytes that go there. */
async function startCounter(target: string) {
	let bytes = 0;
	const server = createServer((client) => {
		const {host, port} = parseAddress(target);
		const onward = connect({host, port});
		client.on('data', (chunk) => {
			bytes += chunk.length;
		});
		client.pipe(onward).pipe(client);
		client.on('error', () => onward.destroy());
		onward.on('error', () => client.destroy());
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
