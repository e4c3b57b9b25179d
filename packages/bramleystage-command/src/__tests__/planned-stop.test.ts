/** Planned stops of real processes while a response is being streamed. */
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
import {computeReferenceCompletion} from 'bramleystage-stand-ins';
import {afterEach, expect, test} from 'vitest';
import {type StartedCommand, startCommand} from './start-command.js';

const deployment = deployments.kaleli;
const dataCentre = toDataCentreId('izmir-a');
const prompt = 'Where does the coach park';
const maxTokens = 40;
const stepMs = 40;

let startedCommands: StartedCommand[] = [];

afterEach(async () => {
	for (const {child, ended} of startedCommands) {
		child.kill('SIGKILL');
		await ended;
	}

	startedCommands = [];
});

async function start(args: readonly string[]): Promise<StartedCommand> {
	const command = await startCommand(args);
	startedCommands.push(command);
	return command;
}

/** Starts the platform, one engine with its agent, and one entry, each as its own process. */
async function startSmallSite() {
	const platform = await start(['stand-in', 'platform', '--host-lag-ms', '0']);
	const platformAddress = platform.firstLineWords[1] ?? '';
	await new PlatformClient(platformAddress).append('table', {
		kind: 'edit',
		format: 1,
		edit: 'first',
		author: 'test',
		at: '2026-01-01T00:00:00Z',
		changes: listInitialRowChanges(deployment),
	});
	const engine = await start(['stand-in', 'engine']);
	const common = [
		'--platform',
		platformAddress,
		'--data-centre',
		dataCentre,
		'--log-level',
		'error',
	];
	const agent = await start([
		'agent',
		'--host',
		'engine-1',
		...common,
		'--engine',
		`http://${engine.firstLineWords[1]}`,
	]);
	const host = toHostId('engine-1');
	const address = agent.firstLineWords[1] ?? '';
	await registerHost(platformAddress, {
		host,
		role: 'agent',
		dataCentre,
		address,
	});
	const entry = await start(['entry', '--host', 'entry-1', ...common]);
	await waitForHosts(entry.firstLineWords[3] ?? '');
	await sendHttpRequest({
		method: 'PUT',
		url: `http://${engine.firstLineWords[1]}/faults`,
		body: JSON.stringify({slowMs: stepMs}),
		timeoutMs: 2000,
	});
	return {entry, agent};
}

/** Waits until the entry has read the table and has a session to an agent. */
async function waitForHosts(operatorAddress: string): Promise<void> {
	for (;;) {
		const response = await fetch(`http://${operatorAddress}/dump`);
		const {tableOffset, hosts} = (await response.json()) as {
			tableOffset: number;
			hosts: unknown[];
		};
		if (tableOffset > 0 && hosts.length > 0) {
			return;
		}

		await waitFor(20);
	}
}

/** Starts a streamed completion; resolves at its first event. */
async function startStream(entry: StartedCommand) {
	const response = await sendCompletion(entry, true);
	const reader = response
		.body!.pipeThrough(new TextDecoderStream())
		.getReader();
	const first = await reader.read();
	const readRest = async () => {
		let text = first.value ?? '';
		for (;;) {
			const next = await reader.read();
			if (next.done) {
				return text;
			}

			text += next.value;
		}
	};

	return {readRest};
}

const sendCompletion = async (entry: StartedCommand, stream: boolean) =>
	fetch(`http://${entry.firstLineWords[1]}/v1/completions`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${formatSampleApiKey(deployment.customers[0] ?? '')}`,
		},
		body: JSON.stringify({
			model: deployment.model,
			prompt,
			max_tokens: maxTokens,
			stream,
		}),
	});

/** Joins the text of the events of a stream. */
function readText(events: string): string {
	return events
		.split('\n\n')
		.filter((event) => event.startsWith('data: {'))
		.map((event) => {
			const {choices} = JSON.parse(event.slice('data: '.length)) as {
				choices: Array<{text: string}>;
			};
			return choices[0]?.text ?? '';
		})
		.join('');
}

const expected = computeReferenceCompletion(
	prompt,
	deployment.layers,
	maxTokens,
);

test('an entry that receives SIGTERM completes its streamed response, then exits with 0', async () => {
	const {entry} = await startSmallSite();
	const {readRest} = await startStream(entry);
	entry.child.kill('SIGTERM');
	await waitFor(100);
	const ready = await fetch(`http://${entry.firstLineWords[1]}/readyz`);
	expect(ready.status).toBe(503);
	const refused = await sendCompletion(entry, false);
	expect(refused.status).toBe(503);
	expect(await refused.json()).toMatchObject({
		error: {type: 'stopping', outcome: 'not-run'},
	});
	const events = await readRest();
	expect(events).toContain('data: [DONE]');
	expect(readText(events)).toBe(expected.text);
	expect(await entry.ended).toBe(0);
});

test('an agent that receives SIGTERM completes its streamed response, then exits with 0', async () => {
	const {entry, agent} = await startSmallSite();
	const {readRest} = await startStream(entry);
	agent.child.kill('SIGTERM');
	const events = await readRest();
	expect(events).toContain('data: [DONE]');
	expect(readText(events)).toBe(expected.text);
	expect(await agent.ended).toBe(0);
	const refused = await sendCompletion(entry, false);
	expect(refused.status).toBe(503);
	expect(await refused.json()).toMatchObject({
		error: {type: 'noPipeline', outcome: 'not-run'},
	});
});

test('a second signal ends a draining process immediately', async () => {
	const {entry} = await startSmallSite();
	await startStream(entry);
	entry.child.kill('SIGTERM');
	await waitFor(100);
	entry.child.kill('SIGTERM');
	expect(await entry.ended).toBe(1);
});
