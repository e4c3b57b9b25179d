/**
 * The backend servers that the platform lists, and the layer ranges that they
 * reported themselves. The list lags, so a reported range overrides the listed
 * one until the list changes.
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
};

export const createBackends = (): BackendsSnapshot => ({
	backends: new Map(),
	reports: new Map(),
});

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

/** Applies changes in order; returns the same snapshot if nothing differs. */
export function applyBackendChanges(
	snapshot: BackendsSnapshot,
	changes: readonly BackendChange[],
): BackendsSnapshot {
	let next: Map<BackendId, Backend> | undefined;
	let {reports} = snapshot;
	for (const {id, backend: entry} of changes) {
		const report = reports.get(id);
		const backend = entry && mergeReport(entry, report);
		if (report && backend === entry) {
			const rest = new Map(reports);
			rest.delete(id);
			reports = rest;
		}

		if (isSameBackend((next ?? snapshot.backends).get(id), backend)) {
			continue;
		}

		next ??= new Map(snapshot.backends);
		if (backend) {
			next.set(id, backend);
		} else {
			next.delete(id);
		}
	}

	const isChanged = next !== undefined || reports !== snapshot.reports;
	return isChanged ? {backends: next ?? snapshot.backends, reports} : snapshot;
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
