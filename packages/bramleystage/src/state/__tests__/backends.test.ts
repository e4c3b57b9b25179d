import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	toBackendId,
	toDataCentreId,
	toServiceName,
} from '../../protocol/ids.js';
import {
	applyBackendChanges,
	applyLeaving,
	applyReportedLayers,
	applyRestoredBackends,
	type Backend,
	type BackendsSnapshot,
	createBackends,
	isRemovedInstance,
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

test('an instance that leaves stays so, whatever the list shows of it later', () => {
	const leaving = applyLeaving(listed, id);
	expect(leaving.backends.get(id)?.isDraining).toBe(true);
	const drained = applyBackendChanges(listed, [
		{id, backend: {...entry, isDraining: true}},
	]);
	for (const snapshot of [leaving, drained]) {
		const again = replaceBackends(snapshot, [entry]);
		expect(again.backends.get(id)?.isDraining).toBe(true);
		const restarted = replaceBackends(again, [{...entry, bornAt: 2}]);
		expect(restarted.backends.get(id)?.isDraining).toBe(false);
	}
});

test('a restored list does not bring back a removed instance until it writes again', () => {
	const removed = applyBackendChanges(listed, [{id}]);
	expect(isRemovedInstance(removed, entry)).toBe(true);
	const restored = applyRestoredBackends(removed, [{id, backend: entry}]);
	expect(restored.backends.size).toBe(0);
	const written = applyBackendChanges(restored, [{id, backend: entry}]);
	expect(written.backends.get(id)).toEqual(entry);
	expect(isRemovedInstance(written, entry)).toBe(false);
});

test('a restored list adds unknown instances and overrides none that is known', () => {
	const current = {...entry, layers, bornAt: 5};
	const known = applyBackendChanges(createBackends(), [{id, backend: current}]);
	const other = {...entry, id: toBackendId('other')};
	const restored = applyRestoredBackends(known, [
		{id, backend: {...entry, bornAt: 4}},
		{id: other.id, backend: other},
	]);
	expect([...restored.backends.values()]).toEqual([current, other]);
	const older = {...current, layers: {from: 0, to: 2}, isDraining: true};
	const drained = applyRestoredBackends(known, [{id, backend: older}]);
	expect(drained.backends.get(id)).toEqual({...current, isDraining: true});
});

type RandomChange = {
	readonly kind: 'apply' | 'restore' | 'replace' | 'leave';
	readonly key: string;
	readonly bornAt: number;
	readonly isDraining: boolean;
	readonly isListed: boolean;
};

function applyChange(
	snapshot: BackendsSnapshot,
	{kind, key, bornAt, isDraining, isListed}: RandomChange,
): BackendsSnapshot {
	const changed = {...entry, id: toBackendId(key), bornAt, isDraining};
	const change = {id: changed.id, ...(isListed && {backend: changed})};
	switch (kind) {
		case 'apply': {
			return applyBackendChanges(snapshot, [change]);
		}

		case 'restore': {
			return applyRestoredBackends(snapshot, [change]);
		}

		case 'replace': {
			return replaceBackends(snapshot, isListed ? [changed] : []);
		}

		case 'leave': {
			return applyLeaving(snapshot, changed.id);
		}
	}
}

test('no list and no restored copy ever makes an instance usable again that left', () => {
	const changeArbitrary = fc.record({
		kind: fc.constantFrom<RandomChange['kind']>(
			'apply',
			'restore',
			'replace',
			'leave',
		),
		key: fc.constantFrom('one', 'two'),
		bornAt: fc.nat({max: 2}),
		isDraining: fc.boolean(),
		isListed: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(changeArbitrary, {maxLength: 30}), (changes) => {
			let snapshot = createBackends();
			const left = new Set<string>();
			for (const change of changes) {
				snapshot = applyChange(snapshot, change);
				for (const backend of snapshot.backends.values()) {
					const instance = `${backend.id} ${backend.bornAt}`;
					expect(left.has(instance) && !backend.isDraining).toBe(false);
					if (backend.isDraining) {
						left.add(instance);
					}
				}
			}
		}),
	);
});
