import {expect, test} from 'vitest';
import {type HeldAnswer, HeldAnswers} from '../held-answers.js';

const piece = Buffer.alloc(64 * 1024, 'x');

function startAnswers(count: number) {
	const answers = new HeldAnswers();
	const rejected = new Set<number>();
	const open = Array.from({length: count}, (_, index): HeldAnswer => {
		const answer = answers.register(() => {
			rejected.add(index);
			answers.remove(answer);
		});
		return answer;
	});
	return {answers, rejected, open};
}

test('an answer over its bound fails, and one within it does not', () => {
	const {answers, rejected, open} = startAnswers(2);
	const [long, short] = open;
	for (let count = 0; count < 70 && rejected.size === 0; count++) {
		answers.append(long!, piece);
	}

	answers.append(short!, piece);
	expect([...rejected]).toEqual([0]);
	expect(short!.body.length).toBe(piece.length);
});

test('past the bound of the process the longest answers fail, and short ones are kept', () => {
	const {answers, rejected, open} = startAnswers(20);
	for (let count = 0; count < 50; count++) {
		for (const [index, answer] of open.entries()) {
			if (!rejected.has(index) && (index > 0 || count === 0)) {
				answers.append(answer, piece);
			}
		}
	}

	const bytes = open
		.filter((_, index) => !rejected.has(index))
		.reduce((sum, {body}) => sum + body.length, 0);
	expect(rejected.size).toBeGreaterThan(0);
	expect(rejected.has(0)).toBe(false);
	expect(bytes).toBeLessThanOrEqual(32 * 1024 * 1024);
});

test('answers that ended leave their room to others', () => {
	const {answers, rejected} = startAnswers(0);
	for (let count = 0; count < 1000; count++) {
		const answer = answers.register(() => {
			rejected.add(count);
		});
		answers.append(answer, piece);
		answer.body.take();
		answers.remove(answer);
	}

	expect(rejected.size).toBe(0);
});
