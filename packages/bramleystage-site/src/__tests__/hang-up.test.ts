/** Callers that hang up: their runs end at the engines. */
import {connect} from 'node:net';
import {createLogger, parseAddress, waitFor} from 'bramleystage';
import type {RequestRecord} from 'bramleystage-entry';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {deployments, formatSampleKey} from '../deployments.js';
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

async function readEngines(): Promise<{sequences: number; stepsRun: number}> {
	let sequences = 0;
	let stepsRun = 0;
	for (const {address} of site.engines.values()) {
		const answer = await fetch(`http://${address}/v1/engine`);
		const engine = (await answer.json()) as {
			sequences: number;
			stepsRun: number;
		};
		sequences += engine.sequences;
		stepsRun += engine.stepsRun;
	}

	return {sequences, stepsRun};
}

/** Starts a long answer and hangs up after a time in milliseconds. */
async function cancelCall(index: number, afterMs: number): Promise<void> {
	const abort = new AbortController();
	const calling = async () => {
		const answer = await sendModelRequest(site, index % 2, 'completions', {
			prompt: `Question ${index}`,
			max_tokens: 2000,
			stream: index % 3 > 0,
			signal: abort.signal,
		});
		await answer.text();
	};

	const called = calling();
	await waitFor(afterMs);
	abort.abort();
	await expect(called).rejects.toThrow();
}

test('no sequence of a caller that hung up is left at an engine', async () => {
	const hangingUp = Array.from({length: callerCount}, async (_, index) =>
		cancelCall(index, 200 + index * 13),
	);
	await Promise.all(hangingUp);
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

test('a caller that hangs up within its body is recorded as not run', async () => {
	const before = await readEngines();
	const {host, port} = parseAddress(site.entries[0]?.address ?? '');
	const socket = connect({host, port});
	socket.write(
		[
			'POST /v1/completions HTTP/1.1',
			'host: entry',
			`authorization: Bearer ${formatSampleKey(site.deployment.customers[0] ?? '')}`,
			'content-length: 500',
			'',
			'{"model":',
		].join('\r\n'),
	);
	await waitFor(100);
	socket.destroy();
	await waitFor(100);
	expect(records.map(({failure}) => failure)).toMatchObject([
		{result: 'cancelled', outcome: 'not-run'},
	]);
	expect(await readEngines()).toEqual(before);
});
