import {type HostId, sendHttp, waitFor} from 'bramleystage';
import {computeReference} from 'bramleystage-stand-ins';
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
const reference = computeReference(prompt, deployment.layers, maxTokens);
const lastNewWorkMs = 3000;
/** Time for which the stream of a leaving agent is to be in flight at least. */
const heldMs = 2 * lastNewWorkMs;
/** The answer may end before `maxTokens`, so its own length gives the time of a step. */
const slowStepMs = Math.ceil(heldMs / reference.tokens.length);
/** Silence of the session, and the time that an entry may be without one. */
const entryLossMs = 8000;

let site: Site;

const countSequences = async () => {
	const engines = await Promise.all(
		[...site.engines.values()].map(async ({address}) =>
			readJson(address, '/v1/engine'),
		),
	);
	return engines.reduce(
		(sum, {sequences}) => sum + Number(sequences ?? Number.NaN),
		0,
	);
};

beforeEach(async () => {
	site = await startSite(deployment, logger);
});

afterEach(async () => {
	await site.stop();
});

/** Reads a JSON object; an empty one from a process that has ended. */
async function readJson(
	address: string,
	path: string,
): Promise<Record<string, unknown>> {
	const answer = await sendHttp({
		method: 'GET',
		url: `http://${address}${path}`,
		timeoutMs: 2000,
	});
	return answer.isOk()
		? (JSON.parse(answer.value.body.toString()) as Record<string, unknown>)
		: {};
}

/** Lists the hosts with an open stage, the first stage first. */
async function listStageHosts(): Promise<HostId[]> {
	const found: Array<{host: HostId; index: number}> = [];
	for (const [host, {operatorAddress}] of site.agents) {
		const dump = await readJson(operatorAddress, '/dump');
		for (const {index} of (dump.stages ?? []) as Array<{index: number}>) {
			found.push({host, index});
		}
	}

	return found.toSorted((a, b) => a.index - b.index).map(({host}) => host);
}

/** Lists the requests that have a stage at an agent. */
async function listRequests(operatorAddress: string): Promise<string[]> {
	const {stages = []} = await readJson(operatorAddress, '/dump');
	return (stages as Array<{request: string}>).map(({request}) => request);
}

/** Starts a stream, and resolves once a token has come. */
async function startStream(): Promise<{text: Promise<string>}> {
	const response = await sendModelRequest(site, 0, 'completions', {
		prompt,
		max_tokens: maxTokens,
		stream: true,
	});
	return {text: response.text()};
}

test.each([0, 1, 2])(
	'an answer goes on when the agent of stage %i ends at once',
	async (index) => {
		const {text} = await startStream();
		const hosts = await listStageHosts();
		await site.agents.get(hosts[index]!)?.stop();
		expect(readStreamedText(await text)).toBe(reference.text);
	},
);

test('an answer goes on when two agents end at once', async () => {
	const {text} = await startStream();
	const [first, , last] = await listStageHosts();
	await Promise.all(
		[first, last].map(async (host) => site.agents.get(host!)?.stop()),
	);
	expect(readStreamedText(await text)).toBe(reference.text);
});

test('an answer goes on when the connections to its engines go silent', async () => {
	const {text} = await startStream();
	for (const engine of site.engines.values()) {
		engine.setFaults({silent: true});
	}

	expect(readStreamedText(await text)).toBe(reference.text);
});

test('a leaving agent ends its streams and gets no new work', async () => {
	const {text} = await startStream();
	const [host] = await listStageHosts();
	const agent = site.agents.get(host!)!;
	// Keeps the stream in flight for longer than new work may come.
	site.engines.get(host!)?.setFaults({slowMs: slowStepMs});
	const drained = agent.drain();
	const streams = [text];
	const startAnother = async () => {
		const another = await startStream();
		streams.push(another.text);
		await waitFor(200);
	};

	const startedAt = performance.now();
	while (performance.now() - startedAt < lastNewWorkMs) {
		await startAnother();
	}

	const held = await listRequests(agent.operatorAddress);
	expect(held.length).toBeGreaterThan(0);
	for (let count = 0; count < 5; count++) {
		await startAnother();
		for (const request of await listRequests(agent.operatorAddress)) {
			expect(held).toContain(request);
		}
	}

	for (const answer of await Promise.all(streams)) {
		expect(readStreamedText(answer)).toBe(reference.text);
	}

	await drained;
});

test('the runs of an entry that is gone are cancelled at the engines', async () => {
	const {text} = await startStream();
	const ended = text.catch(() => '');
	await site.entries[0]?.stop();
	await ended;
	const until = performance.now() + entryLossMs;
	let sequences = Number.NaN;
	while (sequences !== 0 && performance.now() < until) {
		await waitFor(50);
		sequences = await countSequences();
	}

	expect(sequences).toBe(0);
});
