/** Streamed responses while agents, engine connections or entries fail or drain. */
import {type HostId, sendHttpRequest, waitFor} from 'bramleystage';
import {computeReferenceCompletion} from 'bramleystage-stand-ins';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {deployments} from '../deployments.js';
import {type Site, startSite} from '../site.js';
import {readStreamedText, sendModelRequest} from './callers.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const prompt = 'A long question about every tower of the castle';
const maxTokens = 400;
const deployment = deployments.kaleli;
const expected = computeReferenceCompletion(
	prompt,
	deployment.layers,
	maxTokens,
);
/** New work may still arrive at a draining agent within this time. */
const newWorkGraceMs = 3000;
/** The stream of the draining agent is kept in flight for at least this time. */
const minInFlightMs = 2 * newWorkGraceMs;
/** Duration of a step. Uses the length of the expected response, which may end before `maxTokens`. */
const slowStepMs = Math.ceil(minInFlightMs / expected.tokens.length);
/** Covers the silence after which a session is closed and the time for which an entry may then be without a session. */
const entryLossMs = 8000;

let site: Site;

/** Counts the open sequences of all engines; NaN if an engine does not report them. */
const countSequences = async () => {
	const engines = await Promise.all(
		[...site.engines.values()].map(async ({address}) =>
			readJson(address, '/v1/engine'),
		),
	);
	return engines.reduce(
		(total, {sequences}) => total + Number(sequences ?? Number.NaN),
		0,
	);
};

beforeEach(async () => {
	site = await startSite(deployment, logger);
});

afterEach(async () => {
	await site.stop();
});

/** Reads a JSON object; returns an empty one if the process can't be reached. */
async function readJson(
	address: string,
	path: string,
): Promise<Record<string, unknown>> {
	const response = await sendHttpRequest({
		method: 'GET',
		url: `http://${address}${path}`,
		timeoutMs: 2000,
	});
	return response.isOk()
		? (JSON.parse(response.value.body.toString()) as Record<string, unknown>)
		: {};
}

/** Lists the hosts that have an open stage, in the order of the stages. */
async function listStageHosts(): Promise<HostId[]> {
	const stages: Array<{host: HostId; index: number}> = [];
	for (const [host, {operatorAddress}] of site.agents) {
		const dump = await readJson(operatorAddress, '/dump');
		for (const {index} of (dump.stages ?? []) as Array<{index: number}>) {
			stages.push({host, index});
		}
	}

	return stages.toSorted((a, b) => a.index - b.index).map(({host}) => host);
}

/** Lists the requests that have an open stage at an agent. */
async function listRequests(operatorAddress: string): Promise<string[]> {
	const {stages = []} = await readJson(operatorAddress, '/dump');
	return (stages as Array<{request: string}>).map(({request}) => request);
}

/** Starts a streamed completion; resolves when the first token has arrived, as the entry sends the headers with it. */
async function startStream(): Promise<{text: Promise<string>}> {
	const response = await sendModelRequest(site, 0, 'completions', {
		prompt,
		max_tokens: maxTokens,
		stream: true,
	});
	return {text: response.text()};
}

test.each([0, 1, 2])(
	'a response continues when the agent of stage %i stops immediately',
	async (index) => {
		const {text} = await startStream();
		const hosts = await listStageHosts();
		await site.agents.get(hosts[index]!)?.stop();
		expect(readStreamedText(await text)).toBe(expected.text);
	},
);

test('a response continues when two agents stop immediately', async () => {
	const {text} = await startStream();
	const [first, , last] = await listStageHosts();
	await Promise.all(
		[first, last].map(async (host) => site.agents.get(host!)?.stop()),
	);
	expect(readStreamedText(await text)).toBe(expected.text);
});

test('a response continues when the connections to its engines stop carrying data', async () => {
	const {text} = await startStream();
	for (const engine of site.engines.values()) {
		engine.setFaults({silent: true});
	}

	expect(readStreamedText(await text)).toBe(expected.text);
});

test('a draining agent completes its streams and gets no new work', async () => {
	const {text} = await startStream();
	const [host] = await listStageHosts();
	const agent = site.agents.get(host!)!;
	// Keeps the stream in flight beyond the time in which new work may arrive.
	site.engines.get(host!)?.setFaults({slowMs: slowStepMs});
	const drained = agent.drain();
	const streams = [text];
	const startAnotherStream = async () => {
		const stream = await startStream();
		streams.push(stream.text);
		await waitFor(200);
	};

	const startedAt = performance.now();
	while (performance.now() - startedAt < newWorkGraceMs) {
		await startAnotherStream();
	}

	const openRequests = await listRequests(agent.operatorAddress);
	expect(openRequests.length).toBeGreaterThan(0);
	for (let count = 0; count < 5; count++) {
		await startAnotherStream();
		for (const request of await listRequests(agent.operatorAddress)) {
			expect(openRequests).toContain(request);
		}
	}

	for (const response of await Promise.all(streams)) {
		expect(readStreamedText(response)).toBe(expected.text);
	}

	await drained;
});

test('the sequences of an entry that was stopped are cancelled at the engines', async () => {
	const {text} = await startStream();
	const ended = text.catch(() => '');
	await site.entries[0]?.stop();
	await ended;
	const deadline = performance.now() + entryLossMs;
	let sequences = Number.NaN;
	while (sequences !== 0 && performance.now() < deadline) {
		await waitFor(50);
		sequences = await countSequences();
	}

	expect(sequences).toBe(0);
});
