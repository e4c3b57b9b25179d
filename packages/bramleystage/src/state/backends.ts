/**
 * The backend servers that the platform lists, and the layer ranges that they
 * reported themselves. The list lags, so a reported range overrides the listed
 * one until the list changes. An instance that was seen to leave never becomes
 * usable again, even if the list is restored from an older copy: only a later
 * start of the server under the same id does.
 */
import type {
	BackendId,
	DataCentreId,
	ModelName,
	ServiceName,
} from '../protocol/ids.js';

/** Layers from `from` (inclusive) to `to` (exclusive). */
export type LayerRange = {readonly from: number; readonly to: number};

export type Backend = {
	readonly id: BackendId;
	readonly service: ServiceName;
	/** `host:port`. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly isDraining: boolean;
	/** Kind of accelerator; absent for plain services. */
	readonly kind?: string;
	/** Layers that it holds; absent if none. */
	readonly layers?: LayerRange;
	readonly models: readonly ModelName[];
	readonly slots: number;
	/** Unix time of its start, in milliseconds; 0 if unknown. */
	readonly bornAt: number;
};

/** A change of one list entry; without `backend` the entry was removed. */
export type BackendChange = {
	readonly id: BackendId;
	readonly backend?: Backend;
};

/** Layers that a backend server reported, and those that the list had for it then. */
type LayerReport = {
	readonly layers?: LayerRange;
	readonly listed?: LayerRange;
	readonly bornAt: number;
};

export type BackendsSnapshot = {
	readonly backends: ReadonlyMap<BackendId, Backend>;
	/** Reports that the list does not reflect yet. */
	readonly reports: ReadonlyMap<BackendId, LayerReport>;
	/** Start times of the newest instances that were seen to leave. */
	readonly leaving: ReadonlyMap<BackendId, number>;
	/** Start times of the newest instances that were removed from the list. */
	readonly removed: ReadonlyMap<BackendId, number>;
};

/** Number of leaving and of removed instances that are remembered. */
const maxRememberedInstances = 1024;

export const createBackends = (): BackendsSnapshot => ({
	backends: new Map(),
	reports: new Map(),
	leaving: new Map(),
	removed: new Map(),
});

/** Adds an instance unless a newer one is known; the ids added first are dropped beyond the limit. */
function addInstance(
	instances: ReadonlyMap<BackendId, number>,
	{id, bornAt}: Pick<Backend, 'id' | 'bornAt'>,
): ReadonlyMap<BackendId, number> {
	if ((instances.get(id) ?? -1) >= bornAt) {
		return instances;
	}

	const next = new Map(instances);
	next.delete(id);
	next.set(id, bornAt);
	const [oldest] = next.keys();
	if (next.size > maxRememberedInstances && oldest !== undefined) {
		next.delete(oldest);
	}

	return next;
}

function removeInstance(
	instances: ReadonlyMap<BackendId, number>,
	id: BackendId,
): ReadonlyMap<BackendId, number> {
	const next = new Map(instances);
	next.delete(id);
	return next;
}

/** Records that the listed instance of a backend server has said that it leaves. */
export function applyLeaving(
	snapshot: BackendsSnapshot,
	id: BackendId,
): BackendsSnapshot {
	const known = snapshot.backends.get(id);
	return !known || known.isDraining
		? snapshot
		: {
				...snapshot,
				backends: new Map(snapshot.backends).set(id, {
					...known,
					isDraining: true,
				}),
				leaving: addInstance(snapshot.leaving, known),
			};
}

/** Whether the list lacked an instance after it had been there. */
export const isRemovedInstance = (
	{removed}: BackendsSnapshot,
	{id, bornAt}: Pick<Backend, 'id' | 'bornAt'>,
): boolean => bornAt <= (removed.get(id) ?? -1);

/**
 * Applies entries of a list that was restored from an older copy. They add
 * instances that were never known here. What is known of an instance is newer
 * than its entry in the copy, except that the entry may show that it leaves.
 */
export function applyRestoredBackends(
	snapshot: BackendsSnapshot,
	changes: readonly BackendChange[],
): BackendsSnapshot {
	const accepted = changes.flatMap(({id, backend}): BackendChange[] => {
		const known = snapshot.backends.get(id);
		const newestStart = Math.max(
			known?.bornAt ?? -1,
			snapshot.removed.get(id) ?? -1,
		);
		if (!backend || backend.bornAt < newestStart) {
			return [];
		}

		if (known?.bornAt === backend.bornAt) {
			const isDraining = known.isDraining || backend.isDraining;
			return [{id, backend: {...known, isDraining}}];
		}

		return isRemovedInstance(snapshot, backend) ? [] : [{id, backend}];
	});
	return applyBackendChanges(snapshot, accepted);
}

const isSameRange = (a: LayerRange | undefined, b: LayerRange | undefined) =>
	a?.from === b?.from && a?.to === b?.to;

/** Records the layers that a backend server reported, ahead of the lagging list. */
export function applyReportedLayers(
	snapshot: BackendsSnapshot,
	id: BackendId,
	layers: LayerRange,
): BackendsSnapshot {
	const known = snapshot.backends.get(id);
	if (!known || isSameRange(known.layers, layers)) {
		return snapshot;
	}

	const listed = snapshot.reports.get(id)?.listed ?? known.layers;
	return {
		...snapshot,
		backends: new Map(snapshot.backends).set(id, {...known, layers}),
		reports: new Map(snapshot.reports).set(id, {
			layers,
			listed,
			bornAt: known.bornAt,
		}),
	};
}

/** Returns the entry, with the reported layers if the entry is older than the report. */
function mergeReport(entry: Backend, report: LayerReport | undefined): Backend {
	const isStale =
		entry.bornAt === report?.bornAt && isSameRange(entry.layers, report.listed);
	return isStale ? {...entry, layers: report.layers} : entry;
}

function isSameBackend(
	a: Backend | undefined,
	b: Backend | undefined,
): boolean {
	return (
		a === b ||
		(a !== undefined &&
			b !== undefined &&
			formatBackend(a) === formatBackend(b))
	);
}

const formatBackend = (backend: Backend) =>
	[
		backend.id,
		backend.service,
		backend.address,
		backend.dataCentre,
		backend.isDraining,
		backend.kind,
		backend.layers?.from,
		backend.layers?.to,
		backend.slots,
		backend.bornAt,
	].join('|');

/** Records that an instance was removed, is back, or leaves. */
function recordInstance(
	{leaving, removed}: Pick<BackendsSnapshot, 'leaving' | 'removed'>,
	known: Backend | undefined,
	backend: Backend | undefined,
): Pick<BackendsSnapshot, 'leaving' | 'removed'> {
	if (!backend) {
		return {leaving, removed: known ? addInstance(removed, known) : removed};
	}

	return {
		leaving: backend.isDraining ? addInstance(leaving, backend) : leaving,
		removed:
			removed.get(backend.id) === backend.bornAt
				? removeInstance(removed, backend.id)
				: removed,
	};
}

/** Applies changes in order; returns the same snapshot if nothing differs. */
export function applyBackendChanges(
	snapshot: BackendsSnapshot,
	changes: readonly BackendChange[],
): BackendsSnapshot {
	let next: Map<BackendId, Backend> | undefined;
	let {reports, leaving, removed} = snapshot;
	for (const {id, backend: entry} of changes) {
		const report = reports.get(id);
		const reported = entry && mergeReport(entry, report);
		if (report && reported === entry) {
			const rest = new Map(reports);
			rest.delete(id);
			reports = rest;
		}

		const isLeaving = reported && reported.bornAt <= (leaving.get(id) ?? -1);
		const backend = isLeaving ? {...reported, isDraining: true} : reported;
		const known = (next ?? snapshot.backends).get(id);
		({leaving, removed} = recordInstance({leaving, removed}, known, backend));
		if (isSameBackend(known, backend)) {
			continue;
		}

		next ??= new Map(snapshot.backends);
		if (backend) {
			next.set(id, backend);
		} else {
			next.delete(id);
		}
	}

	const isChanged =
		next !== undefined ||
		reports !== snapshot.reports ||
		leaving !== snapshot.leaving ||
		removed !== snapshot.removed;
	return isChanged
		? {backends: next ?? snapshot.backends, reports, leaving, removed}
		: snapshot;
}

/** Replaces the complete list. */
export function replaceBackends(
	snapshot: BackendsSnapshot,
	listed: readonly Backend[],
): BackendsSnapshot {
	const kept = new Set(listed.map(({id}) => id));
	const removed = [...snapshot.backends.keys()]
		.filter((id) => !kept.has(id))
		.map((id): BackendChange => ({id}));
	return applyBackendChanges(snapshot, [
		...removed,
		...listed.map((backend) => ({id: backend.id, backend})),
	]);
}

/** Lists the backend servers of one service. */
export function listBackends(
	{backends}: BackendsSnapshot,
	service: ServiceName,
): Backend[] {
	return [...backends.values()].filter(
		(backend) => backend.service === service,
	);
}
