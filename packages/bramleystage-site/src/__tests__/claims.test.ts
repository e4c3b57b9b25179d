import {createLogger, sendHttp} from 'bramleystage';
import type {RunningEntry} from 'bramleystage-entry';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments, formatSampleKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';

const deployment = deployments.kaleli;
let site: Site;

beforeAll(async () => {
	site = await startSite(deployment, createLogger('error', {}));
});

afterAll(async () => {
	await site.stop();
});

type Answer = {
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
): Promise<Answer> {
	const answer = await sendHttp({
		method: 'POST',
		url: `http://${entry?.address}/v1/services/${deployment.service}/bookings`,
		headers: {
			authorization: `Bearer ${formatSampleKey('castle-gates')}`,
			'idempotency-key': key,
			'content-type': 'application/json',
		},
		body: JSON.stringify({reference}),
		timeoutMs: 20_000,
	});
	const {status, body} = answer._unsafeUnwrap();
	return {status, body: JSON.parse(body.toString()) as Answer['body']};
}

/** Runs of a booking at all backend servers of the service. */
async function countRuns(reference: string): Promise<number> {
	let runs = 0;
	for (const service of site.services.values()) {
		const answer = await sendHttp({
			method: 'GET',
			url: `http://${service.address}/bookings/${reference}`,
			timeoutMs: 5000,
		});
		const text = answer._unsafeUnwrap().body.toString();
		runs += (JSON.parse(text) as {runs: number}).runs;
	}

	return runs;
}

test('a repeat through another entry gets the recorded answer', async () => {
	const first = await sendBooking(site.entries[0], 'key-1', 'a-1');
	const repeat = await sendBooking(site.entries[1], 'key-1', 'a-1');
	expect(first).toMatchObject({status: 201, body: {runs: 1}});
	expect(repeat).toEqual(first);
	expect(await countRuns('a-1')).toBe(1);
});

test('a key that is used with another request is refused', async () => {
	await sendBooking(site.entries[0], 'key-2', 'b-1');
	const reused = await sendBooking(site.entries[1], 'key-2', 'b-2');
	expect(reused.status).toBe(422);
	expect(await countRuns('b-2')).toBe(0);
});

test('many repeats at once run once', async () => {
	const answers = await Promise.all(
		Array.from({length: 20}, async (_, index) =>
			sendBooking(site.entries[index % 2], 'key-3', 'c-1'),
		),
	);
	expect(answers.some(({status}) => status === 201)).toBe(true);
	expect(answers.every(({status}) => [201, 409].includes(status))).toBe(true);
	expect(await countRuns('c-1')).toBe(1);
});

test('lost answers of the log do not run a booking twice', async () => {
	site.platform.setFaults({loseAnswers: 6});
	const answers = await Promise.all(
		Array.from({length: 5}, async (_, index) =>
			sendBooking(site.entries[index % 2], `key-4-${index}`, `d-${index}`),
		),
	);
	site.platform.setFaults({loseAnswers: 0});
	for (const [index, {status}] of answers.entries()) {
		const runs = await countRuns(`d-${index}`);
		expect([status, runs]).toEqual([201, 1]);
	}
});

test('with the log out a booking is not run, and its key works afterwards', async () => {
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

test('after its home was lost a key is told as in use, and does not run again', async () => {
	const first = await sendBooking(site.entries[0], 'key-6', 'f-1');
	const home = [...site.agents].find(([host]) => host === first.body.by);
	await home?.[1].stop();
	// The entry may not have noticed the loss yet and send the first one there.
	const early = await sendBooking(site.entries[1], 'key-6', 'f-1');
	expect(early.body.error?.outcome).toBe('unknown');
	const repeat = await sendBooking(site.entries[1], 'key-6', 'f-1');
	expect(repeat.status).toBe(409);
	expect(repeat.body.error?.outcome).toBe('unknown');
	expect(await countRuns('f-1')).toBe(1);
});
