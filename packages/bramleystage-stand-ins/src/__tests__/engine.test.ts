/** The engine's stand-in over HTTP. */
import {afterEach, beforeEach, expect, test} from 'vitest';
import type {CacheState, StepAnswer} from '../engine-schema.js';
import {type EngineOptions, startEngine} from '../engine.js';
import type {StandIn} from '../faults.js';
import {computeReference} from '../reference-model.js';

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
const opened: StandIn[] = [];

async function start(more: Partial<EngineOptions> = {}): Promise<StandIn> {
	const started = await startEngine({...options, ...more});
	opened.push(started);
	return started;
}

beforeEach(async () => {
	engine = await start();
});

afterEach(async () => {
	await Promise.all(opened.splice(0).map(async (each) => each.close()));
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
): Promise<StepAnswer> {
	const answer = await send(to, 'POST', '/v1/steps', {
		steps: [{sequence: 's', position, fromLayer: 0, toLayer: layers, input}],
	});
	return (await answer.json()) as StepAnswer;
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
	const answer = await send(to, 'GET', '/v1/engine');
	return (await answer.json()) as Record<string, unknown>;
}

const reference = computeReference(prompt, layers, 6).tokens;

test('a whole model answers as the reference', async () => {
	const first = await runPrompt(engine);
	const rest = await runTokens(engine, 1, 5, first.token?.id ?? -1);
	expect([first.token?.id, ...rest]).toEqual(reference);
});

test('a repeated step gives its recorded output and does not run again', async () => {
	const first = await runPrompt(engine);
	expect(await runPrompt(engine)).toEqual(first);
	expect(await readEngine(engine)).toMatchObject({stepsRun: 1});
});

test('a stream is resumed from its recorded outputs', async () => {
	const first = await runPrompt(engine);
	await runTokens(engine, 1, 3, first.token?.id ?? -1);
	const answer = await send(engine, 'GET', '/v1/sequences/s/outputs?from=2');
	const outputs = (await answer.json()) as StepAnswer[];
	expect(outputs.map(({token}) => token?.id)).toEqual(reference.slice(2, 4));
});

test('a step out of order is not run', async () => {
	await runPrompt(engine);
	const answer = await runStep(engine, 2, {kind: 'token', token: 1});
	expect(answer.error).toBe('out of order');
});

test('an exported KV cache continues at another engine', async () => {
	const first = await runPrompt(engine);
	const early = await runTokens(engine, 1, 2, first.token?.id ?? -1);
	const exported = await send(engine, 'GET', '/v1/sequences/s/kv');
	const state = (await exported.json()) as CacheState;
	expect(state.position).toBe(3);
	const other = await start();
	await send(other, 'PUT', '/v1/sequences/s/kv', state);
	const late = await runTokens(other, 3, 3, early.at(-1) ?? -1);
	expect([first.token?.id, ...early, ...late]).toEqual(reference);
});

test('a cancelled sequence is gone', async () => {
	await runPrompt(engine);
	expect(await readEngine(engine)).toMatchObject({sequences: 1});
	await send(engine, 'DELETE', '/v1/sequences/s');
	expect(await readEngine(engine)).toMatchObject({sequences: 0});
	const answer = await send(engine, 'GET', '/v1/sequences/s/kv');
	expect(answer.status).toBe(404);
});

const sendOrder = async (to: StandIn, fencing: number, version: string) =>
	send(to, 'POST', '/v1/orders', {order: 'load', fencing, version});

test('an engine that checks refuses an order with an old fencing number', async () => {
	const obeyed = await sendOrder(engine, 7, '2');
	expect(obeyed.status).toBe(200);
	const refused = await sendOrder(engine, 6, '3');
	expect(refused.status).toBe(409);
	expect(await refused.json()).toMatchObject({highestFencing: 7});
	expect(await readEngine(engine)).toMatchObject({version: '2'});
});

test('an engine that does not check obeys an old order', async () => {
	const ignoring = await start({checksFencing: false});
	await sendOrder(ignoring, 7, '2');
	const obeyed = await sendOrder(ignoring, 6, '3');
	expect(obeyed.status).toBe(200);
	expect(await readEngine(ignoring)).toMatchObject({version: '3'});
});

test('orders change layers, adapters and role', async () => {
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

test('a cached prompt prefix is reported', async () => {
	const long = Array.from({length: 40}, (_, index) => `word${index}`).join(' ');
	const input = {kind: 'prompt', prompt: long, given: []};
	expect(await runStep(engine, 0, input)).toMatchObject({cachedTokens: 0});
	await send(engine, 'DELETE', '/v1/sequences/s');
	expect(await runStep(engine, 0, input)).toMatchObject({cachedTokens: 32});
});

test('a body that is no list of steps gets 400', async () => {
	const answer = await send(engine, 'POST', '/v1/steps', {steps: 'none'});
	expect(answer.status).toBe(400);
});
