/**
 * Baseline of the overhead bench: runs a model's layers by calling the stand-in
 * engines directly, without the router.
 */
import type {Agent} from 'node:http';
import {sendHttpRequest} from 'bramleystage';
import type {DeploymentEngine} from 'bramleystage-site';
import {decodeToken, type StepOutput} from 'bramleystage-stand-ins';

/** An engine and the layers that it runs for this pipeline. */
export type DirectStage = {
	readonly address: string;
	readonly fromLayer: number;
	readonly toLayer: number;
};

export type DirectRequest = {
	readonly sequence: string;
	readonly prompt: string;
	readonly maxTokens: number;
};

const stepTimeoutMs = 30_000;

/**
 * Builds the stages of a pipeline over the named hosts, which must be in layer
 * order. Each stage starts at the layer where the previous one ends.
 */
export function buildDirectStages(
	places: readonly DeploymentEngine[],
	hosts: readonly string[],
	findAddress: (host: DeploymentEngine['host']) => string,
): DirectStage[] {
	let nextLayer = 0;
	return hosts.map((name) => {
		const place = places.find(({host}) => host === name);
		if (!place) {
			throw new Error(`No engine is deployed on host ${name}.`);
		}

		const fromLayer = nextLayer;
		nextLayer = place.toLayer;
		return {
			address: findAddress(place.host),
			fromLayer,
			toLayer: place.toLayer,
		};
	});
}

/** Runs one request stage by stage and returns the generated text. */
export async function runDirect(
	stages: readonly DirectStage[],
	request: DirectRequest,
	agent: Agent,
): Promise<string> {
	let text = '';
	let input: unknown = {kind: 'prompt', prompt: request.prompt, given: []};
	for (let position = 0; position < request.maxTokens; position++) {
		// eslint-disable-next-line no-await-in-loop -- each token depends on the previous one
		const token = await runToken(stages, request.sequence, position, {
			input,
			agent,
		});
		text += decodeToken(token.id);
		if (token.isEnd) {
			break;
		}

		input = {kind: 'token', token: token.id};
	}

	await Promise.all(
		stages.map(async ({address}) =>
			sendHttpRequest({
				method: 'DELETE',
				url: `http://${address}/v1/sequences/${request.sequence}`,
				agent,
				timeoutMs: stepTimeoutMs,
			}),
		),
	);
	return text;
}

async function runToken(
	stages: readonly DirectStage[],
	sequence: string,
	position: number,
	options: {input: unknown; agent: Agent},
): Promise<{id: number; isEnd: boolean}> {
	let {input} = options;
	let token: StepOutput['token'];
	for (const {address, fromLayer, toLayer} of stages) {
		const step = {sequence, position, fromLayer, toLayer, input};
		// eslint-disable-next-line no-await-in-loop -- each stage feeds the next
		const answer = await sendHttpRequest({
			method: 'POST',
			url: `http://${address}/v1/steps`,
			body: JSON.stringify({steps: [step]}),
			agent: options.agent,
			timeoutMs: stepTimeoutMs,
		});
		const output = JSON.parse(
			answer._unsafeUnwrap().body.toString(),
		) as StepOutput;
		input = {kind: 'values', values: output.values};
		token = output.token;
	}

	if (!token) {
		throw new Error('The last engine returned no token.');
	}

	return token;
}
