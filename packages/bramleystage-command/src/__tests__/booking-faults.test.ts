/** Bookings in flight while real processes die, pause, or lose contact. */
import {
	PlatformClient,
	sendHttp,
	toDataCentreId,
	toHostId,
	waitFor,
} from 'bramleystage';
import {
	deployments,
	formatSampleKey,
	listTableRows,
	registerHost,
} from 'bramleystage-site';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {type Relay, startRelay} from './relay.js';
import {type StartedCommand, startCommand} from './start-command.js';

const deployment = deployments.kaleli;
const dataCentre = toDataCentreId('izmir-a');
const bookings = 60;
/** Six processes start on a host that may be busy. */
const startTimeoutMs = 60_000;
const bookingMs = 200;
/** More than the silence after which a session is dead. */
const pauseMs = 2500;

type Office = {
	readonly service: StartedCommand;
	readonly agent: StartedCommand;
	readonly relay: Relay;
};

let started: StartedCommand[] = [];
let offices: Office[] = [];
let platformAddress = '';
let entry: StartedCommand;

async function start(words: readonly string[]): Promise<StartedCommand> {
	const command = await startCommand(words);
	started.push(command);
	return command;
}

const listCommonFlags = () => [
	'--platform',
	platformAddress,
	'--data-centre',
	dataCentre,
	'--log-level',
	'error',
];

async function startAgent(name: string, service: StartedCommand) {
	return start([
		'agent',
		'--host',
		name,
		...listCommonFlags(),
		'--service',
		`http://${service.words[1]}`,
		'--service-name',
		deployment.service,
		'--slots',
		'8',
	]);
}

async function startOffice(name: string): Promise<Office> {
	const service = await start([
		'stand-in',
		'service',
		'--name',
		name,
		'--booking-ms',
		String(bookingMs),
	]);
	const agent = await startAgent(name, service);
	const relay = await startRelay(agent.words[1] ?? '');
	await registerHost(platformAddress, {
		host: toHostId(name),
		role: 'agent',
		dataCentre,
		address: relay.address,
	});
	return {service, agent, relay};
}

const startEntry = async (name: string) => {
	const process = await start(['entry', '--host', name, ...listCommonFlags()]);
	for (;;) {
		const answer = await fetch(`http://${process.words[3]}/dump`);
		const {tableOffset, hosts} = (await answer.json()) as {
			tableOffset: number;
			hosts: unknown[];
		};
		if (tableOffset > 0 && hosts.length >= offices.length) {
			return process;
		}

		await waitFor(20);
	}
};

beforeEach(async () => {
	const platform = await start(['stand-in', 'platform', '--host-lag-ms', '0']);
	platformAddress = platform.words[1] ?? '';
	await new PlatformClient(platformAddress).append('table', {
		kind: 'edit',
		format: 1,
		edit: 'first',
		author: 'test',
		at: '2026-01-01T00:00:00Z',
		changes: listTableRows(deployment),
	});
	offices = await Promise.all([
		startOffice('office-1'),
		startOffice('office-2'),
	]);
	entry = await startEntry('entry-1');
}, startTimeoutMs);

afterEach(async () => {
	for (const {relay} of offices) {
		relay.close();
	}

	for (const {child, ended} of started) {
		child.kill('SIGKILL');
		await ended;
	}

	started = [];
	offices = [];
});

type Told = {
	readonly reference: string;
	/** `answered`, an outcome, or `cut` if the connection ended. */
	readonly outcome: string;
};

async function sendBooking(reference: string, key?: string): Promise<Told> {
	const answer = await sendHttp({
		method: 'POST',
		url: `http://${entry.words[1]}/v1/services/${deployment.service}/bookings`,
		headers: {
			authorization: `Bearer ${formatSampleKey(deployment.customers[0] ?? '')}`,
			...(key === undefined ? {} : {'idempotency-key': key}),
		},
		body: JSON.stringify({reference}),
		timeoutMs: 30_000,
	});
	if (answer.isErr()) {
		return {reference, outcome: 'cut'};
	}

	const {status, body} = answer.value;
	const value = JSON.parse(body.toString()) as {
		error?: {outcome: string};
	};
	return {
		reference,
		outcome: status === 201 ? 'answered' : (value.error?.outcome ?? 'none'),
	};
}

/** Books at a steady pace; gives what the callers were told. */
async function sendBookings(useKeys: boolean): Promise<Told[]> {
	const all: Array<Promise<Told>> = [];
	for (let index = 0; index < bookings; index++) {
		const reference = `booking-${index}`;
		all.push(sendBooking(reference, useKeys ? reference : undefined));
		await waitFor(10);
	}

	return Promise.all(all);
}

async function countRuns(): Promise<Map<string, number>> {
	const runs = new Map<string, number>();
	for (const {service} of offices) {
		const answer = await fetch(`http://${service.words[1]}/bookings`);
		const counts = (await answer.json()) as Record<string, number>;
		for (const [reference, count] of Object.entries(counts)) {
			runs.set(reference, (runs.get(reference) ?? 0) + count);
		}
	}

	return runs;
}

/** Finds bookings that ran twice or were told wrongly. */
async function findWrong(told: readonly Told[]): Promise<string[]> {
	const runs = await countRuns();
	return told.flatMap(({reference, outcome}) => {
		const count = runs.get(reference) ?? 0;
		const isRight =
			count <= 1 &&
			(outcome === 'answered' ? count === 1 : true) &&
			(outcome === 'not-run' ? count === 0 : true) &&
			['answered', 'not-run', 'unknown', 'cut'].includes(outcome);
		return isRight ? [] : [`${reference} was ${outcome}, ran ${count} times`];
	});
}

const faults: ReadonlyArray<[string, () => Promise<void>]> = [
	[
		'an agent is killed and replaced',
		async () => {
			offices[0]?.agent.child.kill('SIGKILL');
			await waitFor(300);
			const agent = await startAgent('office-1', offices[0]!.service);
			await registerHost(platformAddress, {
				host: toHostId('office-1'),
				role: 'agent',
				dataCentre,
				address: agent.words[1] ?? '',
			});
		},
	],
	[
		'an agent is paused and wakes',
		async () => {
			offices[0]?.agent.child.kill('SIGSTOP');
			await waitFor(pauseMs);
			offices[0]?.agent.child.kill('SIGCONT');
		},
	],
	[
		'a connection to an agent goes silent for good',
		async () => {
			offices[0]?.relay.silence();
		},
	],
	[
		'the entry is paused and wakes',
		async () => {
			entry.child.kill('SIGSTOP');
			await waitFor(pauseMs);
			entry.child.kill('SIGCONT');
		},
	],
];

test.each(faults)(
	'bookings run once and are told truly when %s',
	async (_, bringAbout) => {
		const booking = sendBookings(false);
		await waitFor(300);
		await bringAbout();
		const told = await booking;
		await waitFor(2 * bookingMs);
		expect(await findWrong(told)).toEqual([]);
		const answered = told.filter(({outcome}) => outcome === 'answered');
		expect(answered.length).toBeGreaterThan(0);
	},
);

test('keyed bookings of a killed entry are retried through another and run once', async () => {
	const booking = sendBookings(true);
	await waitFor(300);
	entry.child.kill('SIGKILL');
	entry = await startEntry('entry-2');
	const told = await booking;
	const cut = told.filter(({outcome}) => outcome === 'cut');
	expect(cut.length).toBeGreaterThan(0);
	const retried = await Promise.all(
		cut.map(async ({reference}) => sendBooking(reference, reference)),
	);
	await waitFor(2 * bookingMs);
	expect(await findWrong([...told, ...retried])).toEqual([]);
	expect(retried.map(({outcome}) => outcome)).toEqual(
		retried.map(() => 'answered'),
	);
});
