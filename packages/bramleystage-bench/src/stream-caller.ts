/**
 * Callers that stream one answer after another without a pause. Each answer is
 * compared with the reference computed from its prompt. Token arrivals are
 * tracked, so that the effect of a fault on the callers can be measured.
 */
import readline from 'node:readline';
import {openHttpResponse, parseJson} from 'bramleystage';
import {computeReferenceCompletion} from 'bramleystage-stand-ins';

export type StreamCounts = {
	/** Answers that equal the reference. */
	complete: number;
	/** Answers that failed or ended early. */
	lost: number;
	/** Answers that are longer than the reference or differ from it, such as by repeated tokens. */
	mismatched: number;
	/** Failures reported as `not-run` although tokens had been delivered. */
	wrongNotRun: number;
	/** Number of failures by reason. */
	readonly failures: Map<string, number>;
};

export type ActiveStream = {
	lastTokenAt: number;
	isEnded: boolean;
	/** Start and end of the longest gap between tokens since the measurement began. */
	longestGap: {from: number; to: number};
};

export type StreamOptions = {
	readonly url: string;
	readonly key: string;
	readonly model: string;
	readonly layers: number;
	readonly maxTokens: number;
};

type Chunk = {
	readonly choices?: ReadonlyArray<{readonly text?: string}>;
	readonly error?: {readonly outcome?: string; readonly message?: string};
};

const requestTimeoutMs = 60_000;

export class StreamCallers {
	readonly active = new Set<ActiveStream>();
	readonly counts: StreamCounts = {
		complete: 0,
		lost: 0,
		mismatched: 0,
		wrongNotRun: 0,
		failures: new Map(),
	};

	#isStopped = false;
	readonly #callers: Array<Promise<void>> = [];

	constructor(private readonly options: StreamOptions) {}

	start(count: number): void {
		for (let caller = 0; caller < count; caller++) {
			this.#callers.push(this.#runCaller(caller));
		}
	}

	/** Starts no new streams; resolves when the running ones have ended. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#callers);
	}

	async #runCaller(caller: number): Promise<void> {
		for (let questionIndex = 0; !this.#isStopped; questionIndex++) {
			// eslint-disable-next-line no-await-in-loop -- one answer at a time
			await this.#runStream(
				`caller ${caller} asks question ${questionIndex} of the day`,
			);
		}
	}

	async #runStream(prompt: string): Promise<void> {
		const now = performance.now();
		const stream: ActiveStream = {
			lastTokenAt: now,
			isEnded: false,
			longestGap: {from: now, to: now},
		};
		this.active.add(stream);
		const {text, failure} = await this.#readAnswer(prompt, stream);
		stream.isEnded = true;
		this.active.delete(stream);
		this.#checkAnswer(prompt, text, failure);
	}

	async #readAnswer(
		prompt: string,
		stream: ActiveStream,
	): Promise<{text: string; failure: string | undefined}> {
		const {url, key, model, maxTokens} = this.options;
		const opened = await openHttpResponse({
			method: 'POST',
			url: `${url}/v1/completions`,
			headers: {authorization: `Bearer ${key}`},
			body: JSON.stringify({
				model,
				prompt,
				max_tokens: maxTokens,
				stream: true,
			}),
			timeoutMs: requestTimeoutMs,
		});
		if (opened.isErr()) {
			return {text: '', failure: opened.error.detail};
		}

		let text = '';
		let failure: string | undefined = 'The stream ended early.';
		try {
			const lines = readline.createInterface({input: opened.value.response});
			for await (const line of lines) {
				const chunk = parseLine(line);
				if (line === 'data: [DONE]') {
					failure = undefined;
				} else if (chunk?.error) {
					failure = `${chunk.error.outcome}: ${chunk.error.message}`;
				} else if (chunk) {
					text += chunk.choices?.[0]?.text ?? '';
					recordToken(stream, performance.now());
				}
			}
		} catch (error) {
			failure = (error as Error).message;
		}

		return {text, failure};
	}

	#checkAnswer(
		prompt: string,
		text: string,
		failure: string | undefined,
	): void {
		const {layers, maxTokens} = this.options;
		const reference = computeReferenceCompletion(prompt, layers, maxTokens);
		if (!reference.text.startsWith(text)) {
			this.counts.mismatched++;
			this.#recordFailure('The answer differs from the reference.');
		} else if (failure !== undefined || text !== reference.text) {
			this.counts.lost++;
			this.#recordFailure(failure ?? 'The answer is too short.');
		} else {
			this.counts.complete++;
		}

		if (failure?.startsWith('not-run') && text !== '') {
			this.counts.wrongNotRun++;
		}
	}

	#recordFailure(reason: string): void {
		const {failures} = this.counts;
		failures.set(reason, (failures.get(reason) ?? 0) + 1);
	}
}

function recordToken(stream: ActiveStream, now: number): void {
	const {longestGap} = stream;
	if (now - stream.lastTokenAt > longestGap.to - longestGap.from) {
		stream.longestGap = {from: stream.lastTokenAt, to: now};
	}

	stream.lastTokenAt = now;
}

function parseLine(line: string): Chunk | undefined {
	const text = line.startsWith('data: ') ? line.slice('data: '.length) : line;
	return text.startsWith('{') ? (parseJson(text) as Chunk) : undefined;
}
