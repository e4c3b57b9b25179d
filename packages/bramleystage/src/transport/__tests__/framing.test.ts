import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {toRequestId} from '../../protocol/ids.js';
import type {Message} from '../../protocol/messages.js';
import {encodeFrame, FrameDecoder} from '../framing.js';

const cancel: Message = {type: 'cancel', request: toRequestId('r1')};

test('messages are decoded wherever the chunks of the stream end', () => {
	const bytes = Buffer.concat([encodeFrame(cancel), encodeFrame(cancel)]);
	const decoder = new FrameDecoder();
	const messages: unknown[] = [];
	for (const byte of bytes) {
		decoder.append(Buffer.from([byte]));
		const message = decoder.readNext()._unsafeUnwrap();
		if (message) {
			messages.push(message);
		}
	}

	expect(messages).toEqual([cancel, cancel]);
});

test('a frame over the size limit is refused before it is buffered', () => {
	const decoder = new FrameDecoder();
	decoder.append(Buffer.from([0xff, 0xff, 0xff, 0xff]));
	expect(decoder.readNext()._unsafeUnwrapErr().result).toBe('badFrame');
});
