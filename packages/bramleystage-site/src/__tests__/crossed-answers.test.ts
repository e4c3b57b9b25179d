/** Many concurrent responses that are read at different speeds: each must reach its own caller. */
import {createLogger, waitFor} from 'bramleystage';
import {computeReferenceCompletion} from 'bramleystage-stand-ins';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {expect, test} from 'vitest';
import {deployments} from '../deployments.js';
import {type Site, startSite} from '../site.js';
import {readStreamedText, sendModelRequest} from './callers.js';

const callerCount = 200;
const seed = 42;

type Caller = {
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
	/** Pause after each chunk of the response, in milliseconds. */
	readonly pauseMs: number;
};

function createCallers(): Caller[] {
	const generator = xoroshiro128plus(seed);
	const drawInteger = (max: number) => uniformInt(generator, 0, max);
	return Array.from({length: callerCount}, (_, index) => ({
		prompt: `Question ${index} of visitor ${drawInteger(1000)} about gate ${drawInteger(9)}`,
		maxTokens: 4 + drawInteger(28),
		stream: drawInteger(3) > 0,
		pauseMs: drawInteger(4) * 5,
	}));
}

/** Reads a response with a pause after each chunk. */
async function readTextSlowly(
	response: Response,
	pauseMs: number,
): Promise<string> {
	let text = '';
	const reader = response
		.body!.pipeThrough(new TextDecoderStream())
		.getReader();
	for (;;) {
		const {done, value} = await reader.read();
		if (done) {
			return text;
		}

		text += value;
		await waitFor(pauseMs);
	}
}

/** Sends a caller's request and returns the text of the response. */
async function sendAndReadText(
	site: Site,
	index: number,
	{prompt, maxTokens, stream, pauseMs}: Caller,
): Promise<string> {
	const entryIndex = index % site.entries.length;
	const response = await sendModelRequest(site, entryIndex, 'completions', {
		prompt,
		max_tokens: maxTokens,
		stream,
	});
	const text = await readTextSlowly(response, pauseMs);
	if (stream) {
		return readStreamedText(text);
	}

	const completion = JSON.parse(text) as {choices?: Array<{text: string}>};
	return completion.choices?.[0]?.text ?? text;
}

test('each of 200 concurrent, slowly read responses reaches its own caller', async () => {
	const site = await startSite(deployments.kaleli, createLogger('error', {}));
	for (const [index, engine] of [...site.engines.values()].entries()) {
		engine.setFaults({slowMs: index * 4});
	}

	const callers = createCallers();
	const texts = await Promise.all(
		callers.map(async (caller, index) => sendAndReadText(site, index, caller)),
	);
	const {layers} = site.deployment;
	expect(texts).toEqual(
		callers.map(
			({prompt, maxTokens}) =>
				computeReferenceCompletion(prompt, layers, maxTokens).text,
		),
	);
	await site.stop();
});
