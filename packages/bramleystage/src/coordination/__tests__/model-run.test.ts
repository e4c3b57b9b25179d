/** How many backend servers one model request may lose. */
import {expect, test} from 'vitest';
import {
	toAttempt,
	toHostId,
	toIncarnation,
	toPosition,
	toRequestId,
} from '../../protocol/ids.js';
import {createModelRun} from '../../state/model-run-state.js';
import {decideModelRun} from '../model-run.js';
import type {ModelRunEvent} from '../model-run-protocol.js';

const request = toRequestId('request-1');
const context = {allowRetry: () => true, recovery: 'resume'} as const;

const buildStage = (attempt: number) => ({
	host: toHostId(`host-${attempt}`),
	incarnation: toIncarnation('1'),
	address: 'host:1',
	fromLayer: 0,
	toLayer: 8,
});

/** Runs a request on one server after the other; each sends some tokens and is then lost. Returns how many were lost before the request failed. */
function countLostServers(tokensPerServer: number, maxServers: number): number {
	let state = createModelRun(100_000);
	let position = 0;
	const handle = (event: ModelRunEvent) => {
		[state] = decideModelRun(state, event, 0, context);
	};

	handle({type: 'started'});
	for (let server = 1; server <= maxServers; server++) {
		handle({type: 'chosen', stages: [buildStage(server)]});
		const attempt = toAttempt(server);
		handle({
			type: 'stageOpened',
			message: {
				type: 'stageOpened',
				request,
				attempt,
				index: 0,
				next: toPosition(position),
				retains: true,
			},
		});
		for (let token = 0; token < tokensPerServer; token++) {
			handle({
				type: 'token',
				token: {
					type: 'token',
					request,
					attempt,
					position: toPosition(position++),
					token: 1,
					text: 'x',
				},
			});
		}

		handle({
			type: 'failed',
			host: buildStage(server).host,
			message: {
				type: 'failed',
				request,
				attempt,
				result: 'backendLost',
				outcome: 'unknown',
				detail: 'The engine closed the connection.',
			},
		});
		if (state.phase === 'done') {
			return server;
		}
	}

	return maxServers;
}

// Guards against a prompt that ends one engine after the other, as lost servers cost no retry.
test('a request under which servers are lost before any token goes on to few of them', () => {
	expect(countLostServers(0, 10)).toBe(3);
});

test('a request that gets tokens from each server goes on when one is lost', () => {
	expect(countLostServers(2, 10)).toBe(10);
});
