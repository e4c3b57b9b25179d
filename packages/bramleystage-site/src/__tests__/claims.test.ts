/** Bookings with idempotency keys, which must run once however often and wherever they are retried. */
import {createLogger, sendHttpRequest} from 'bramleystage';
import type {RunningEntry} from 'bramleystage-entry';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments, formatSampleApiKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';

const deployment = deployments.kaleli;
/** Allows the site to start on a busy host. */
const startTimeoutMs = 60_000;
let site: Site;

beforeAll(async () => {
	site = await startSite(deployment, createLogger('error', {}));
}, startTimeoutMs);

afterAll(async () => {
	await site.stop();
});

type BookingResponse = {
	status: number;
	body: {
		reference?: string;
		runs?: number;
		by?: string;
		error?: {code?: number; outcome?: string};
	};
};

async function sendBooking(
	entry: RunningEntry | undefined,
	key: string,
	reference: string,
): Promise<BookingResponse> {
	const response = await sendHttpRequest({
		method: 'POST',
		url: `http://${entry?.address}/v1/services/${deployment.service}/bookings`,
		headers: {
			authorization: `Bearer ${formatSampleApiKey('castle-gates')}`,
			'idempotency-key': key,
			'content-type': 'application/json',
		},
		body: JSON.stringify({reference}),
		timeoutMs: 20_000,
	});
	const {status, body} = response._unsafeUnwrap();
	return {status, body: JSON.parse(body.toString()) as BookingResponse['body']};
}

/** Counts the runs of a booking at all backend servers of the service. */
async function countRuns(reference: string): Promise<number> {
	let runs = 0;
	for (const service of site.services.values()) {
		const response = await sendHttpRequest({
			method: 'GET',
			url: `http://${service.address}/bookings/${reference}`,
			timeoutMs: 5000,
		});
		const text = response._unsafeUnwrap().body.toString();
		runs += (JSON.parse(text) as {runs: number}).runs;
	}

	return runs;
}

test('a retry through another entry gets the recorded response', async () => {
	const first = await sendBooking(site.entries[0], 'key-1', 'a-1');
	const retry = await sendBooking(site.entries[1], 'key-1', 'a-1');
	expect(first).toMatchObject({status: 201, body: {runs: 1}});
	expect(retry).toEqual(first);
	expect(await countRuns('a-1')).toBe(1);
});

test('a key that was used with a different request is rejected', async () => {
	await sendBooking(site.entries[0], 'key-2', 'b-1');
	const reused = await sendBooking(site.entries[1], 'key-2', 'b-2');
	expect(reused.status).toBe(422);
	expect(await countRuns('b-2')).toBe(0);
});

test('many concurrent retries run once', async () => {
	const responses = await Promise.all(
		Array.from({length: 20}, async (_, index) =>
			sendBooking(site.entries[index % 2], 'key-3', 'c-1'),
		),
	);
	expect(responses.some(({status}) => status === 201)).toBe(true);
	expect(responses.every(({status}) => [201, 409].includes(status))).toBe(true);
	expect(await countRuns('c-1')).toBe(1);
});

test('a booking runs once when append responses of the log are lost', async () => {
	site.platform.setFaults({loseAnswers: 6});
	const responses = await Promise.all(
		Array.from({length: 5}, async (_, index) =>
			sendBooking(site.entries[index % 2], `key-4-${index}`, `d-${index}`),
		),
	);
	site.platform.setFaults({loseAnswers: 0});
	for (const [index, {status}] of responses.entries()) {
		const runs = await countRuns(`d-${index}`);
		expect([status, runs]).toEqual([201, 1]);
	}
});

test('while the log is down a booking is not run, and its key can be used afterwards', async () => {
	site.platform.setFaults({down: true});
	const refused = await sendBooking(site.entries[0], 'key-5', 'e-1');
	expect(refused.status).toBe(503);
	expect(refused.body.error?.outcome).toBe('not-run');
	expect(await countRuns('e-1')).toBe(0);
	site.platform.setFaults({down: false});
	await expect
		.poll(
			async () => {
				const {status} = await sendBooking(site.entries[1], 'key-5', 'e-1');
				return status;
			},
			{timeout: 20_000, interval: 200},
		)
		.toBe(201);
	expect(await countRuns('e-1')).toBe(1);
});

test('a key whose home agent was lost is reported as in use, and its booking does not run again', async () => {
	const first = await sendBooking(site.entries[0], 'key-6', 'f-1');
	const homeAgent = [...site.agents].find(([host]) => host === first.body.by);
	await homeAgent?.[1].stop();
	// The entry may not have noticed the loss yet, and then sends the first retry to the lost agent.
	const firstRetry = await sendBooking(site.entries[1], 'key-6', 'f-1');
	expect(firstRetry.body.error?.outcome).toBe('unknown');
	const secondRetry = await sendBooking(site.entries[1], 'key-6', 'f-1');
	expect(secondRetry.status).toBe(409);
	expect(secondRetry.body.error?.outcome).toBe('unknown');
	expect(await countRuns('f-1')).toBe(1);
});
