import {expect, test} from 'vitest';
import {
	toBackendId,
	toDataCentreId,
	toServiceName,
} from '../../protocol/ids.js';
import {
	applyBackendChanges,
	applyOwnLayers,
	type Backend,
	createBackends,
	replaceBackends,
} from '../backends.js';

const id = toBackendId('engine');
const entry: Backend = {
	id,
	service: toServiceName('models'),
	address: '10.0.0.1:1',
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	kind: 'big',
	models: [],
	slots: 8,
	bornAt: 1,
};
const listed = applyBackendChanges(createBackends(), [{id, backend: entry}]);
const layers = {from: 4, to: 8};

test('an entry that did not change gives the same snapshot', () => {
	expect(applyBackendChanges(listed, [{id, backend: {...entry}}])).toBe(listed);
});

test('a report holds over entries that were written before it', () => {
	const reported = applyOwnLayers(listed, id, layers);
	const stale = replaceBackends(reported, [{...entry, isDraining: true}]);
	expect(stale.backends.get(id)).toMatchObject({layers, isDraining: true});
});

test('an entry that says something new replaces a report', () => {
	const reported = applyOwnLayers(listed, id, layers);
	const newer = {...entry, layers: {from: 0, to: 2}};
	const next = applyBackendChanges(reported, [{id, backend: newer}]);
	expect(next.backends.get(id)?.layers).toEqual({from: 0, to: 2});
	const again = applyBackendChanges(next, [{id, backend: entry}]);
	expect(again.backends.get(id)?.layers).toBeUndefined();
});

test('a server that started anew holds nothing of its report', () => {
	const reported = applyOwnLayers(listed, id, layers);
	const reborn = {...entry, bornAt: 2};
	const next = applyBackendChanges(reported, [{id, backend: reborn}]);
	expect(next.backends.get(id)?.layers).toBeUndefined();
});

test('entries that are not listed are gone', () => {
	expect(replaceBackends(listed, []).backends.size).toBe(0);
});
