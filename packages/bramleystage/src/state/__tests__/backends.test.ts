import {expect, test} from 'vitest';
import {
	toBackendId,
	toDataCentreId,
	toServiceName,
} from '../../protocol/ids.js';
import {
	applyBackendChanges,
	applyReportedLayers,
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

test('an unchanged entry returns the same snapshot', () => {
	expect(applyBackendChanges(listed, [{id, backend: {...entry}}])).toBe(listed);
});

test('a report overrides list entries that are older than it', () => {
	const reported = applyReportedLayers(listed, id, layers);
	const stale = replaceBackends(reported, [{...entry, isDraining: true}]);
	expect(stale.backends.get(id)).toMatchObject({layers, isDraining: true});
});

test('a list entry with new layers replaces a report', () => {
	const reported = applyReportedLayers(listed, id, layers);
	const newer = {...entry, layers: {from: 0, to: 2}};
	const next = applyBackendChanges(reported, [{id, backend: newer}]);
	expect(next.backends.get(id)?.layers).toEqual({from: 0, to: 2});
	const again = applyBackendChanges(next, [{id, backend: entry}]);
	expect(again.backends.get(id)?.layers).toBeUndefined();
});

test('a report does not apply to a restarted server', () => {
	const reported = applyReportedLayers(listed, id, layers);
	const restarted = {...entry, bornAt: 2};
	const next = applyBackendChanges(reported, [{id, backend: restarted}]);
	expect(next.backends.get(id)?.layers).toBeUndefined();
});

test('entries missing in a new list are removed', () => {
	expect(replaceBackends(listed, []).backends.size).toBe(0);
});
