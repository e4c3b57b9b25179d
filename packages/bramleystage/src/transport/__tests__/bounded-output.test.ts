import {Writable} from 'node:stream';
import {expect, test} from 'vitest';
import {createBoundedOutput} from '../bounded-output.js';

/** A target that completes a write only when `releaseAll` is called. */
class SlowWritable extends Writable {
	readonly lines: string[] = [];
	#release: (() => void) | undefined;

	constructor() {
		super({decodeStrings: false});
	}

	override _write(chunk: unknown, _encoding: string, done: () => void): void {
		this.lines.push(String(chunk));
		this.#release = done;
	}

	/** Completes the pending writes. */
	async releaseAll(): Promise<void> {
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

test('lines over the limit are dropped and counted, and the count is written once the target has caught up', async () => {
	const slow = new SlowWritable();
	const output = createBoundedOutput(slow, (count) => `dropped=${count}`, 10);
	for (let line = 0; line < 6; line++) {
		output.stream.write(`line ${line}\n`);
	}

	expect(output.countDropped()).toBe(4);
	await slow.releaseAll();
	output.stream.write('later\n');
	await slow.releaseAll();
	expect(slow.lines.join('')).toBe('line 0\nline 1\ndropped=4\nlater\n');
});

test('a write error of the target does not end the process', async () => {
	const closed = new Writable({
		write(_chunk, _encoding, done) {
			done(new Error('write EPIPE'));
		},
	});
	const output = createBoundedOutput(closed, (count) => `dropped=${count}`);
	output.stream.write('first\n');
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	output.stream.write('second\n');
	expect(output.countDropped()).toBe(1);
});
