/** A customer's rate limit, which both entries enforce together. */
import {createLogger, PlatformClient, waitFor} from 'bramleystage';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {deployments, formatSampleApiKey} from '../deployments.js';
import {type Site, startSite} from '../site.js';

const deployment = deployments.kaleli;
const customer = 'school-trips';
const requestsPerSecond = 6;
const requestCount = 40;

let site: Site;

beforeAll(async () => {
	site = await startSite(deployment, createLogger('error', {}));
});

afterAll(async () => {
	await site.stop();
});

type Dump = {
	tableOffset: number;
	limits: {
		isStale: boolean;
		members: Array<{confirmed: number}>;
		epoch: number;
	};
};

async function readDumps(): Promise<Dump[]> {
	return Promise.all(
		site.entries.map(async ({operatorAddress}) => {
			const response = await fetch(`http://${operatorAddress}/dump`);
			return (await response.json()) as Dump;
		}),
	);
}

/** Waits until both entries have folded the edit and have confirmed the limit shares of the current epoch. */
async function waitForLimits(): Promise<void> {
	for (;;) {
		const dumps = await readDumps();
		const isSettled = dumps.every(
			({tableOffset, limits}) =>
				tableOffset === 2 &&
				!limits.isStale &&
				limits.members.length === 2 &&
				limits.members.every(({confirmed}) => confirmed === limits.epoch),
		);
		if (isSettled) {
			return;
		}

		await waitFor(50);
	}
}

test('a limit on requests per second is enforced across both entries', async () => {
	const appended = await new PlatformClient(site.platform.address).append(
		'table',
		{
			kind: 'edit',
			format: 1,
			edit: 'limit',
			author: 'test',
			at: '2026-01-01T00:00:00Z',
			changes: [
				{
					row: `customer/${customer}`,
					against: 0,
					cells: {requests_per_second: String(requestsPerSecond)},
				},
			],
		},
	);
	expect(appended.isOk()).toBe(true);
	await waitForLimits();
	const startedAt = performance.now();
	const responses = await Promise.all(
		Array.from({length: requestCount}, async (_, index) => {
			const {address} = site.entries[index % 2]!;
			return fetch(
				`http://${address}/v1/services/${deployment.service}/bookings`,
				{
					method: 'POST',
					headers: {authorization: `Bearer ${formatSampleApiKey(customer)}`},
					body: JSON.stringify({reference: `limited-${index}`}),
				},
			);
		}),
	);
	const seconds = Math.ceil((performance.now() - startedAt) / 1000);
	const refused = responses.filter(({status}) => status === 429);
	const accepted = responses.filter(({status}) => status === 201);
	expect(accepted.length + refused.length).toBe(requestCount);
	expect(accepted.length).toBeGreaterThan(0);
	expect(accepted.length).toBeLessThanOrEqual(requestsPerSecond * seconds);
	const runs = await Promise.all(
		[...site.services.values()].map(async ({address}) => {
			const response = await fetch(`http://${address}/bookings`);
			const counts = (await response.json()) as Record<string, number>;
			return Object.values(counts).length;
		}),
	);
	expect(runs.reduce((sum, count) => sum + count, 0)).toBe(accepted.length);
	for (const response of refused) {
		const {error} = (await response.json()) as {
			error: {code: number; outcome: string};
		};
		expect(error).toMatchObject({code: 2001, outcome: 'not-run'});
		expect(Number(response.headers.get('retry-after'))).toBeGreaterThan(0);
	}
});
