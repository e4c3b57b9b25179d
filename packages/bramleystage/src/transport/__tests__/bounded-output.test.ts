import {Writable} from 'node:stream';
import {expect, test} from 'vitest';
import {createBoundedOutput} from '../bounded-output.js';

/** A reader that takes a line only when told to. */
class SlowReader extends Writable {
	readonly lines: string[] = [];
	#release: (() => void) | undefined;

	constructor() {
		super({decodeStrings: false});
	}

	override _write(chunk: unknown, _encoding: string, done: () => void): void {
		this.lines.push(String(chunk));
		this.#release = done;
	}

	/** Takes all that waits. */
	async readAll(): Promise<void> {
		while (this.#release) {
			const release = this.#release;
			this.#release = undefined;
			release();
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		}
	}
}

test('lines over the bound are dropped, counted, and told once there is room', async () => {
	const slow = new SlowReader();
	const output = createBoundedOutput(slow, (count) => `dropped=${count}`, 10);
	for (let line = 0; line < 6; line++) {
		output.stream.write(`line ${line}\n`);
	}

	expect(output.countDropped()).toBe(4);
	await slow.readAll();
	output.stream.write('later\n');
	await slow.readAll();
	expect(slow.lines.join('')).toBe('line 0\nline 1\ndropped=4\nlater\n');
});

test('a reader that is gone does not end the process', async () => {
	const gone = new Writable({
		write(_chunk, _encoding, done) {
			done(new Error('write EPIPE'));
		},
	});
	const output = createBoundedOutput(gone, (count) => `dropped=${count}`);
	output.stream.write('first\n');
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	output.stream.write('second\n');
	expect(output.countDropped()).toBe(1);
});
