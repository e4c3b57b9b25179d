/**
 * Backend servers as the platform lists them. The snapshot also remembers when
 * an entry was last listed, so that one that lapsed while the platform was away
 * is not taken for gone at once.
 */
import type {
	BackendId,
	DataCentreId,
	ModelName,
	ServiceName,
} from '../protocol/ids.js';

/** Layers from `from` up to, but without, `to`. */
export type LayerRange = {readonly from: number; readonly to: number};

export type Backend = {
	readonly id: BackendId;
	readonly service: ServiceName;
	/** `host:port`. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly isDraining: boolean;
	/** Kind of accelerator; left out for plain services. */
	readonly kind?: string;
	/** Layers that it holds; left out if none. */
	readonly layers?: LayerRange;
	readonly models: readonly ModelName[];
	readonly slots: number;
	/** Unix time of its start, in milliseconds; 0 if it does not say. */
	readonly bornAt: number;
};

/** What became of one entry of the list; no backend means that it was removed. */
export type BackendChange = {
	readonly id: BackendId;
	readonly backend?: Backend;
};

/** Layers that a backend server reported itself, and what the list had of it then. */
type OwnReport = {
	readonly layers?: LayerRange;
	readonly listed?: LayerRange;
	readonly bornAt: number;
};

export type BackendsSnapshot = {
	readonly backends: ReadonlyMap<BackendId, Backend>;
	/** Reports that the list has not caught up with. */
	readonly reports: ReadonlyMap<BackendId, OwnReport>;
};

export const createBackends = (): BackendsSnapshot => ({
	backends: new Map(),
	reports: new Map(),
});

const isSameRange = (a: LayerRange | undefined, b: LayerRange | undefined) =>
	a?.from === b?.from && a?.to === b?.to;

/** Records the layers that a backend server reported itself; the list says so later. */
export function applyOwnLayers(
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

/** Keeps a report over an entry that was written before it. */
function mergeReport(entry: Backend, report: OwnReport | undefined): Backend {
	const isBehind =
		entry.bornAt === report?.bornAt && isSameRange(entry.layers, report.listed);
	return isBehind ? {...entry, layers: report.layers} : entry;
}

function isSame(a: Backend | undefined, b: Backend | undefined): boolean {
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

/** Applies changes in order; gives the same snapshot if nothing differs. */
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

		if (isSame((next ?? snapshot.backends).get(id), backend)) {
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

/** Replaces the whole list. */
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
