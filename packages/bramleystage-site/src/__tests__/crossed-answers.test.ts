/** Many answers at once, crossed with one another and at different speeds. */
import {createLogger, waitFor} from 'bramleystage';
import {computeReference} from 'bramleystage-stand-ins';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {expect, test} from 'vitest';
import {deployments} from '../deployments.js';
import {type Site, startSite} from '../site.js';
import {readStreamedText, sendModelRequest} from './callers.js';

const answerCount = 200;
const seed = 42;

type Caller = {
	readonly prompt: string;
	readonly maxTokens: number;
	readonly stream: boolean;
	/** Pause before each read of the stream, in milliseconds. */
	readonly pauseMs: number;
};

function createCallers(): Caller[] {
	const generator = xoroshiro128plus(seed);
	const draw = (most: number) => uniformInt(generator, 0, most);
	return Array.from({length: answerCount}, (_, index) => ({
		prompt: `Question ${index} of visitor ${draw(1000)} about gate ${draw(9)}`,
		maxTokens: 4 + draw(28),
		stream: draw(3) > 0,
		pauseMs: draw(4) * 5,
	}));
}

async function readSlowly(answer: Response, pauseMs: number): Promise<string> {
	let text = '';
	const reader = answer.body!.pipeThrough(new TextDecoderStream()).getReader();
	for (;;) {
		const {done, value} = await reader.read();
		if (done) {
			return text;
		}

		text += value;
		await waitFor(pauseMs);
	}
}

async function runCaller(
	site: Site,
	index: number,
	{prompt, maxTokens, stream, pauseMs}: Caller,
): Promise<string> {
	const entry = index % site.entries.length;
	const answer = await sendModelRequest(site, entry, 'completions', {
		prompt,
		max_tokens: maxTokens,
		stream,
	});
	const text = await readSlowly(answer, pauseMs);
	if (stream) {
		return readStreamedText(text);
	}

	const whole = JSON.parse(text) as {choices?: Array<{text: string}>};
	return whole.choices?.[0]?.text ?? text;
}

test('each of 200 crossed and slow answers reaches its own caller', async () => {
	const site = await startSite(deployments.kaleli, createLogger('error', {}));
	for (const [index, engine] of [...site.engines.values()].entries()) {
		engine.setFaults({slowMs: index * 4});
	}

	const callers = createCallers();
	const texts = await Promise.all(
		callers.map(async (caller, index) => runCaller(site, index, caller)),
	);
	const {layers} = site.deployment;
	expect(texts).toEqual(
		callers.map(
			({prompt, maxTokens}) => computeReference(prompt, layers, maxTokens).text,
		),
	);
	await site.stop();
});
