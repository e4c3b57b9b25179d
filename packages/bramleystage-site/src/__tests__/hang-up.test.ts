/** Callers that disconnect: their sequences must be cancelled at the engines. */
import {connect} from 'node:net';
import {createLogger, parseAddress, waitFor} from 'bramleystage';
import type {RequestRecord} from 'bramleystage-entry';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {deployments, formatSampleApiKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';
import {sendModelRequest} from './callers.js';

const callerCount = 20;
const stepMs = 10;
const settleMs = 1000;

let site: Site;
const records: RequestRecord[] = [];

beforeEach(async () => {
	site = await startSite(deployments.kaleli, createLogger('error', {}));
	records.length = 0;
	for (const engine of site.engines.values()) {
		engine.setFaults({slowMs: stepMs});
	}

	for (const entry of site.entries) {
		entry.records.subscribe((record) => {
			records.push(record);
		});
	}
});

afterEach(async () => {
	await site.stop();
});

/** Sums the open sequences and the executed steps of all engines. */
async function readEngines(): Promise<{sequences: number; stepsRun: number}> {
	let sequences = 0;
	let stepsRun = 0;
	for (const {address} of site.engines.values()) {
		const response = await fetch(`http://${address}/v1/engine`);
		const engine = (await response.json()) as {
			sequences: number;
			stepsRun: number;
		};
		sequences += engine.sequences;
		stepsRun += engine.stepsRun;
	}

	return {sequences, stepsRun};
}

/** Counts the in-flight requests of all entries. */
async function countInFlight(): Promise<number> {
	let count = 0;
	for (const {operatorAddress} of site.entries) {
		const response = await fetch(`http://${operatorAddress}/dump`);
		const state = (await response.json()) as {requestsInFlight: number};
		count += state.requestsInFlight;
	}

	return count;
}

/** Starts a request with a long response; returns a function that disconnects the caller. */
function startCancellableRequest(index: number): () => Promise<void> {
	const abort = new AbortController();
	const sendRequest = async () => {
		const response = await sendModelRequest(site, index % 2, 'completions', {
			prompt: `Question ${index}`,
			max_tokens: 2000,
			stream: index % 3 > 0,
			signal: abort.signal,
		});
		await response.text();
	};

	const completed = sendRequest();
	return async () => {
		abort.abort();
		await expect(completed).rejects.toThrow();
	};
}

test('no sequence of a disconnected caller is left at an engine', async () => {
	const cancels = Array.from({length: callerCount}, (_, index) =>
		startCancellableRequest(index),
	);
	await expect.poll(countInFlight, {timeout: 10_000}).toBe(callerCount);
	for (const cancel of cancels) {
		await cancel();
		await waitFor(stepMs);
	}

	await expect.poll(countInFlight).toBe(0);
	await waitFor(settleMs);
	const {sequences, stepsRun} = await readEngines();
	expect(sequences).toBe(0);
	expect(records).toHaveLength(callerCount);
	expect(records.map(({failure}) => failure?.result)).toEqual(
		records.map(() => 'cancelled'),
	);
	await waitFor(settleMs);
	expect(await readEngines()).toEqual({sequences: 0, stepsRun});
});

test('a caller that disconnects while sending its body is recorded as not run', async () => {
	const before = await readEngines();
	const {host, port} = parseAddress(site.entries[0]?.address ?? '');
	const socket = connect({host, port});
	socket.write(
		[
			'POST /v1/completions HTTP/1.1',
			'host: entry',
			`authorization: Bearer ${formatSampleApiKey(site.deployment.customers[0] ?? '')}`,
			'content-length: 500',
			'',
			'{"model":',
		].join('\r\n'),
	);
	await waitFor(settleMs);
	socket.destroy();
	await expect.poll(() => records.length).toBe(1);
	expect(records.map(({failure}) => failure)).toMatchObject([
		{result: 'cancelled', outcome: 'not-run'},
	]);
	expect(await readEngines()).toEqual(before);
});
