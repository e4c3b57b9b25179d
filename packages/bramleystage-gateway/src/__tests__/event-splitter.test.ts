import {expect, test} from 'vitest';
import {EventSplitter} from '../event-splitter.js';

const toBytes = (text: string) => Buffer.from(text);

/** Measures the time to take an event in pieces of the given size, in milliseconds. */
function measureSplit(eventBytes: number, pieceBytes: number): number {
	const splitter = new EventSplitter();
	const piece = Buffer.alloc(pieceBytes, 'x');
	const startedAt = performance.now();
	for (let sent = 0; sent < eventBytes; sent += pieceBytes) {
		splitter.append(piece)._unsafeUnwrap();
	}

	return performance.now() - startedAt;
}

test('events in pieces of any size are the same', () => {
	const text = ': hello\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda';
	for (let size = 1; size <= text.length; size++) {
		const splitter = new EventSplitter();
		let bytes = '';
		const ids: string[] = [];
		for (let at = 0; at < text.length; at += size) {
			const events = splitter
				.append(toBytes(text.slice(at, at + size)))
				._unsafeUnwrap();
			bytes += events?.bytes.toString() ?? '';
			ids.push(...(events?.ids ?? []));
		}

		expect(bytes).toBe(text.slice(0, -'id: 3\nda'.length));
		expect(ids).toEqual(['1', '2']);
		expect(splitter.hasPartial).toBe(true);
	}
});

test('the time for an event in small pieces grows with its length, not with its square', () => {
	measureSplit(64 * 1024, 16);
	expect(measureSplit(200 * 1024, 16)).toBeLessThan(200);
});

test('an event, comments or a stream over its bound is an error', () => {
	const countAccepted = (text: string) => {
		const splitter = new EventSplitter();
		let count = 0;
		while (count < 20_000_000 && splitter.append(toBytes(text)).isOk()) {
			count += text.length;
		}

		return count;
	};

	const event = 'x'.repeat(10_000);
	expect(countAccepted(event)).toBeGreaterThan(250_000);
	expect(countAccepted(event)).toBeLessThan(300_000);
	const comments = `${': wait'.repeat(1000)}\n\n`;
	expect(countAccepted(comments)).toBeGreaterThan(250_000);
	expect(countAccepted(comments)).toBeLessThan(300_000);
	const events = `${'data: x\n\n'.repeat(1000)}`;
	expect(countAccepted(events)).toBeGreaterThan(16_000_000);
	expect(countAccepted(events)).toBeLessThan(17_000_000);
});

test('comments between events with data are not added up', () => {
	const splitter = new EventSplitter();
	const comments = toBytes(`: ${'x'.repeat(100_000)}\n\n`);
	for (let count = 0; count < 10; count++) {
		expect(splitter.append(comments).isOk()).toBe(true);
		expect(splitter.append(toBytes('data: x\n\n')).isOk()).toBe(true);
	}
});

test('an id that no header can hold is an error', () => {
	for (const id of ['\u0001', 'é', 'x'.repeat(257)]) {
		const event = toBytes(`id: ${id}\ndata: x\n\n`);
		expect(new EventSplitter().append(event).isErr()).toBe(true);
	}
});
