/**
 * Bookings in flight while a process is killed, paused, or loses its connection.
 * Guards against bookings that run more than once, and against responses that report a
 * booking as run or as not run when the opposite is true.
 */
import {
	PlatformClient,
	sendHttpRequest,
	toDataCentreId,
	toHostId,
	waitFor,
} from 'bramleystage';
import {
	deployments,
	formatSampleApiKey,
	listInitialRowChanges,
	registerHost,
} from 'bramleystage-site';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {type Relay, startRelay} from './relay.js';
import {type StartedCommand, startCommand} from './start-command.js';

const deployment = deployments.kaleli;
const dataCentre = toDataCentreId('izmir-a');
const bookingCount = 60;
/** Allows six processes to start on a busy host. */
const startTimeoutMs = 60_000;
const bookingMs = 200;
/** Longer than the silence after which a session is closed. */
const pauseMs = 2500;

/** A service with its agent; the entries connect to the agent through the relay. */
type ServiceHost = {
	readonly service: StartedCommand;
	readonly agent: StartedCommand;
	readonly relay: Relay;
};

let startedCommands: StartedCommand[] = [];
let serviceHosts: ServiceHost[] = [];
let platformAddress = '';
let entry: StartedCommand;

async function start(args: readonly string[]): Promise<StartedCommand> {
	const command = await startCommand(args);
	startedCommands.push(command);
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
		`http://${service.firstLineWords[1]}`,
		'--service-name',
		deployment.service,
		'--slots',
		'8',
	]);
}

/** Starts a service with its agent and relay, and lists the relay as the agent's address. */
async function startServiceHost(name: string): Promise<ServiceHost> {
	const service = await start([
		'stand-in',
		'service',
		'--name',
		name,
		'--booking-ms',
		String(bookingMs),
	]);
	const agent = await startAgent(name, service);
	const relay = await startRelay(agent.firstLineWords[1] ?? '');
	await registerHost(platformAddress, {
		host: toHostId(name),
		role: 'agent',
		dataCentre,
		address: relay.address,
	});
	return {service, agent, relay};
}

/** Starts an entry and waits until it has read the table and has a session to every agent. */
const startEntry = async (name: string) => {
	const command = await start(['entry', '--host', name, ...listCommonFlags()]);
	for (;;) {
		const response = await fetch(`http://${command.firstLineWords[3]}/dump`);
		const {tableOffset, hosts} = (await response.json()) as {
			tableOffset: number;
			hosts: unknown[];
		};
		if (tableOffset > 0 && hosts.length >= serviceHosts.length) {
			return command;
		}

		await waitFor(20);
	}
};

beforeEach(async () => {
	const platform = await start(['stand-in', 'platform', '--host-lag-ms', '0']);
	platformAddress = platform.firstLineWords[1] ?? '';
	await new PlatformClient(platformAddress).append('table', {
		kind: 'edit',
		format: 1,
		edit: 'first',
		author: 'test',
		at: '2026-01-01T00:00:00Z',
		changes: listInitialRowChanges(deployment),
	});
	serviceHosts = await Promise.all([
		startServiceHost('office-1'),
		startServiceHost('office-2'),
	]);
	entry = await startEntry('entry-1');
}, startTimeoutMs);

afterEach(async () => {
	for (const {relay} of serviceHosts) {
		relay.close();
	}

	for (const {child, ended} of startedCommands) {
		child.kill('SIGKILL');
		await ended;
	}

	startedCommands = [];
	serviceHosts = [];
});

type BookingResult = {
	readonly reference: string;
	/** `answered`, the outcome of the error, or `cut` if the connection ended without a response. */
	readonly outcome: string;
};

async function sendBooking(
	reference: string,
	key?: string,
): Promise<BookingResult> {
	const response = await sendHttpRequest({
		method: 'POST',
		url: `http://${entry.firstLineWords[1]}/v1/services/${deployment.service}/bookings`,
		headers: {
			authorization: `Bearer ${formatSampleApiKey(deployment.customers[0] ?? '')}`,
			...(key === undefined ? {} : {'idempotency-key': key}),
		},
		body: JSON.stringify({reference}),
		timeoutMs: 30_000,
	});
	if (response.isErr()) {
		return {reference, outcome: 'cut'};
	}

	const {status, body} = response.value;
	const value = JSON.parse(body.toString()) as {
		error?: {outcome: string};
	};
	return {
		reference,
		outcome: status === 201 ? 'answered' : (value.error?.outcome ?? 'none'),
	};
}

/** Sends bookings at a steady rate; returns what was reported to each caller. */
async function sendBookings(useKeys: boolean): Promise<BookingResult[]> {
	const results: Array<Promise<BookingResult>> = [];
	for (let index = 0; index < bookingCount; index++) {
		const reference = `booking-${index}`;
		results.push(sendBooking(reference, useKeys ? reference : undefined));
		await waitFor(10);
	}

	return Promise.all(results);
}

/** Counts the runs of each booking at all services. */
async function countRuns(): Promise<Map<string, number>> {
	const runs = new Map<string, number>();
	for (const {service} of serviceHosts) {
		const response = await fetch(
			`http://${service.firstLineWords[1]}/bookings`,
		);
		const counts = (await response.json()) as Record<string, number>;
		for (const [reference, count] of Object.entries(counts)) {
			runs.set(reference, (runs.get(reference) ?? 0) + count);
		}
	}

	return runs;
}

/** Describes the bookings that ran more than once or whose reported outcome is false. */
async function findViolations(
	results: readonly BookingResult[],
): Promise<string[]> {
	const runs = await countRuns();
	return results.flatMap(({reference, outcome}) => {
		const count = runs.get(reference) ?? 0;
		const isCorrect =
			count <= 1 &&
			(outcome === 'answered' ? count === 1 : true) &&
			(outcome === 'not-run' ? count === 0 : true) &&
			['answered', 'not-run', 'unknown', 'cut'].includes(outcome);
		return isCorrect ? [] : [`${reference} was ${outcome}, ran ${count} times`];
	});
}

const faults: ReadonlyArray<[string, () => Promise<void>]> = [
	[
		'an agent is killed and replaced',
		async () => {
			serviceHosts[0]?.agent.child.kill('SIGKILL');
			await waitFor(300);
			const agent = await startAgent('office-1', serviceHosts[0]!.service);
			await registerHost(platformAddress, {
				host: toHostId('office-1'),
				role: 'agent',
				dataCentre,
				address: agent.firstLineWords[1] ?? '',
			});
		},
	],
	[
		'an agent is paused and resumed',
		async () => {
			serviceHosts[0]?.agent.child.kill('SIGSTOP');
			await waitFor(pauseMs);
			serviceHosts[0]?.agent.child.kill('SIGCONT');
		},
	],
	[
		'a connection to an agent stops carrying bytes',
		async () => {
			serviceHosts[0]?.relay.silence();
		},
	],
	[
		'the entry is paused and resumed',
		async () => {
			entry.child.kill('SIGSTOP');
			await waitFor(pauseMs);
			entry.child.kill('SIGCONT');
		},
	],
];

test.each(faults)(
	'bookings run at most once and their outcomes are reported correctly when %s',
	async (_, injectFault) => {
		const pending = sendBookings(false);
		await waitFor(300);
		await injectFault();
		const results = await pending;
		await waitFor(2 * bookingMs);
		expect(await findViolations(results)).toEqual([]);
		const answered = results.filter(({outcome}) => outcome === 'answered');
		expect(answered.length).toBeGreaterThan(0);
	},
);

test('keyed bookings of a killed entry are retried through another and run once', async () => {
	const pending = sendBookings(true);
	await waitFor(300);
	entry.child.kill('SIGKILL');
	entry = await startEntry('entry-2');
	const results = await pending;
	const interrupted = results.filter(({outcome}) => outcome === 'cut');
	expect(interrupted.length).toBeGreaterThan(0);
	const retried = await Promise.all(
		interrupted.map(async ({reference}) => sendBooking(reference, reference)),
	);
	await waitFor(2 * bookingMs);
	expect(await findViolations([...results, ...retried])).toEqual([]);
	expect(retried.map(({outcome}) => outcome)).toEqual(
		retried.map(() => 'answered'),
	);
});
