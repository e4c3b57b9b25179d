/** Tests the HTTP interface of the engine stand-in. */
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {KvCacheState, StepOutput} from '../engine-schema.js';
import {type EngineOptions, startEngineStandIn} from '../engine.js';
import type {StandIn} from '../stand-in-server.js';
import {computeReferenceCompletion} from '../reference-model.js';

const layers = 6;
const prompt = 'one two three';
const options: EngineOptions = {
	address: '127.0.0.1:0',
	model: 'castle-guide',
	version: '1',
	fromLayer: 0,
	toLayer: layers,
	modelLayers: layers,
	acceleratorKind: 'large',
	checksFencing: true,
};

let engine: StandIn;
const startedEngines: StandIn[] = [];

async function start(overrides: Partial<EngineOptions> = {}): Promise<StandIn> {
	const started = await startEngineStandIn({...options, ...overrides});
	startedEngines.push(started);
	return started;
}

beforeEach(async () => {
	engine = await start();
});

afterEach(async () => {
	await Promise.all(startedEngines.splice(0).map(async (each) => each.close()));
});

const send = async (
	to: StandIn,
	method: string,
	path: string,
	body?: unknown,
) =>
	fetch(`http://${to.address}${path}`, {
		method,
		body: body === undefined ? undefined : JSON.stringify(body),
	});

async function runStep(
	to: StandIn,
	position: number,
	input: unknown,
): Promise<StepOutput> {
	const response = await send(to, 'POST', '/v1/steps', {
		steps: [{sequence: 's', position, fromLayer: 0, toLayer: layers, input}],
	});
	return (await response.json()) as StepOutput;
}

const runPrompt = async (to: StandIn) =>
	runStep(to, 0, {kind: 'prompt', prompt, given: []});

async function runTokens(
	to: StandIn,
	from: number,
	count: number,
	last: number,
): Promise<number[]> {
	const tokens: number[] = [];
	let token = last;
	for (let position = from; position < from + count; position++) {
		const {token: drawn} = await runStep(to, position, {kind: 'token', token});
		token = drawn?.id ?? -1;
		tokens.push(token);
	}

	return tokens;
}

async function readEngine(to: StandIn): Promise<Record<string, unknown>> {
	const response = await send(to, 'GET', '/v1/engine');
	return (await response.json()) as Record<string, unknown>;
}

const reference = computeReferenceCompletion(prompt, layers, 6).tokens;

test('an engine with the complete model generates the reference tokens', async () => {
	const first = await runPrompt(engine);
	const rest = await runTokens(engine, 1, 5, first.token?.id ?? -1);
	expect([first.token?.id, ...rest]).toEqual(reference);
});

test('a retried step returns its recorded output and does not run again', async () => {
	const first = await runPrompt(engine);
	expect(await runPrompt(engine)).toEqual(first);
	expect(await readEngine(engine)).toMatchObject({stepsRun: 1});
});

test('a stream can be resumed from its recorded outputs', async () => {
	const first = await runPrompt(engine);
	await runTokens(engine, 1, 3, first.token?.id ?? -1);
	const response = await send(engine, 'GET', '/v1/sequences/s/outputs?from=2');
	const outputs = (await response.json()) as StepOutput[];
	expect(outputs.map(({token}) => token?.id)).toEqual(reference.slice(2, 4));
});

test('a step out of order is not run', async () => {
	await runPrompt(engine);
	const output = await runStep(engine, 2, {kind: 'token', token: 1});
	expect(output.error).toBe('out of order');
});

test('a sequence continues at another engine from an exported KV cache', async () => {
	const first = await runPrompt(engine);
	const tokensBefore = await runTokens(engine, 1, 2, first.token?.id ?? -1);
	const exported = await send(engine, 'GET', '/v1/sequences/s/kv');
	const state = (await exported.json()) as KvCacheState;
	expect(state.position).toBe(3);
	const other = await start();
	await send(other, 'PUT', '/v1/sequences/s/kv', state);
	const tokensAfter = await runTokens(other, 3, 3, tokensBefore.at(-1) ?? -1);
	expect([first.token?.id, ...tokensBefore, ...tokensAfter]).toEqual(reference);
});

test('deleting a sequence removes its state', async () => {
	await runPrompt(engine);
	expect(await readEngine(engine)).toMatchObject({sequences: 1});
	await send(engine, 'DELETE', '/v1/sequences/s');
	expect(await readEngine(engine)).toMatchObject({sequences: 0});
	const response = await send(engine, 'GET', '/v1/sequences/s/kv');
	expect(response.status).toBe(404);
});

const sendOrder = async (to: StandIn, fencing: number, version: string) =>
	send(to, 'POST', '/v1/orders', {order: 'load', fencing, version});

test('an engine that checks fencing tokens refuses an order with a lower one', async () => {
	const accepted = await sendOrder(engine, 7, '2');
	expect(accepted.status).toBe(200);
	const refused = await sendOrder(engine, 6, '3');
	expect(refused.status).toBe(409);
	expect(await refused.json()).toMatchObject({highestFencing: 7});
	expect(await readEngine(engine)).toMatchObject({version: '2'});
});

test('an engine that does not check fencing tokens executes an order with a lower one', async () => {
	const unfenced = await start({checksFencing: false});
	await sendOrder(unfenced, 7, '2');
	const accepted = await sendOrder(unfenced, 6, '3');
	expect(accepted.status).toBe(200);
	expect(await readEngine(unfenced)).toMatchObject({version: '3'});
});

test('orders change layers, adapters and the role', async () => {
	const order = {order: 'load', fencing: 1, toLayer: 3, adapter: 'tours'};
	await send(engine, 'POST', '/v1/orders', order);
	const role = {order: 'role', fencing: 1, role: 'prompts'};
	await send(engine, 'POST', '/v1/orders', role);
	expect(await readEngine(engine)).toMatchObject({
		toLayer: 3,
		adapters: ['tours'],
		role: 'prompts',
	});
	expect(await runPrompt(engine)).toMatchObject({error: 'layers not held'});
});

test('the number of cached prompt tokens is reported', async () => {
	const long = Array.from({length: 40}, (_, index) => `word${index}`).join(' ');
	const input = {kind: 'prompt', prompt: long, given: []};
	expect(await runStep(engine, 0, input)).toMatchObject({cachedTokens: 0});
	await send(engine, 'DELETE', '/v1/sequences/s');
	expect(await runStep(engine, 0, input)).toMatchObject({cachedTokens: 32});
});

test('a body without a list of steps gets status 400', async () => {
	const response = await send(engine, 'POST', '/v1/steps', {steps: 'none'});
	expect(response.status).toBe(400);
});
