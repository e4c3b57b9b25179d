import {expect, test} from 'vitest';
import {UnreadAnswers, type UnreadResponse} from '../unread-answers.js';

const megabyte = 1024 * 1024;

class StandInResponse implements UnreadResponse {
	isBroken = false;
	private handleClose: (() => void) | undefined;

	constructor(public writableLength: number) {}

	once(_event: 'close', listener: () => void): void {
		this.handleClose = listener;
	}

	close(): void {
		this.handleClose?.();
	}

	destroy(): void {
		this.isBroken = true;
		this.close();
	}
}

const record = (answers: UnreadAnswers, response: StandInResponse) => {
	answers.record(response, () => undefined);
	return response;
};

test('past the bound the longest answer is broken off, and no other', () => {
	const answers = new UnreadAnswers();
	const responses = [10, 20, 10].map((size) =>
		record(answers, new StandInResponse(size * megabyte)),
	);
	expect(responses.some(({isBroken}) => isBroken)).toBe(false);
	const broken: number[] = [];
	answers.record(new StandInResponse(15 * megabyte), (bytes) => {
		broken.push(bytes);
	});
	expect(responses.map(({isBroken}) => isBroken)).toEqual([false, true, false]);
	expect(broken).toEqual([20 * megabyte]);
});

// Guards against answers that are broken off although their callers have read them meanwhile.
test('what has been read since does not count', () => {
	const answers = new UnreadAnswers();
	const responses = [20, 20].map((size) =>
		record(answers, new StandInResponse(size * megabyte)),
	);
	for (const response of responses) {
		response.writableLength = 0;
	}

	const last = record(answers, new StandInResponse(30 * megabyte));
	expect([...responses, last].some(({isBroken}) => isBroken)).toBe(false);
});

test('answers that have ended do not count', () => {
	const answers = new UnreadAnswers();
	for (let count = 0; count < 10; count++) {
		const response = record(answers, new StandInResponse(40 * megabyte));
		expect(response.isBroken).toBe(false);
		response.close();
	}
});
