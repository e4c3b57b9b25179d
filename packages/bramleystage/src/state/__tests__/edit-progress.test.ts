import {expect, test} from 'vitest';
import {toEditId, toLogOffset} from '../../protocol/ids.js';
import {createEditProgress, decideEdit} from '../edit-progress.js';
import type {EditResult} from '../table.js';

const edit = toEditId('edit-1');
const result: EditResult = {
	edit,
	author: 'Ayşe',
	offset: toLogOffset(7),
	accepted: [],
	refused: [],
};

test('after a lost answer the log is read before the edit is appended again', () => {
	const [started, first] = createEditProgress(edit);
	expect(first).toEqual([{type: 'append'}]);
	const [lost, none] = decideEdit(started, {type: 'appendFailed'}, 100);
	expect(none).toEqual([]);
	const [early, still] = decideEdit(
		lost,
		{type: 'tableComplete', at: 100},
		120,
	);
	expect(still).toEqual([]);
	const [, again] = decideEdit(early, {type: 'tableComplete', at: 101}, 130);
	expect(again).toEqual([{type: 'append'}]);
});

test('an edit found in the log is not appended again', () => {
	const [started] = createEditProgress(edit);
	const [lost] = decideEdit(started, {type: 'appendFailed'}, 100);
	const [found] = decideEdit(lost, {type: 'folded', result}, 110);
	expect(found).toEqual({phase: 'settled', edit, result});
	const [, commands] = decideEdit(found, {type: 'tableComplete', at: 200}, 210);
	expect(commands).toEqual([]);
});

test('the outcome of another edit does not settle this one', () => {
	const [started] = createEditProgress(edit);
	const other = {...result, edit: toEditId('edit-2')};
	const [next] = decideEdit(started, {type: 'folded', result: other}, 110);
	expect(next.phase).toBe('appending');
});
