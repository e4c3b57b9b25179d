/**
 * Decides which engines are to hold other layers than they do. At the start all
 * layers are placed at once. Later a gap is filled by an engine that stands by
 * or holds only what others hold too, else by its neighbours; and an engine with
 * too little room hands layers at its edge to a neighbour: the neighbour takes
 * them first, then the engine gives them up, so that no layer is ever uncovered.
 */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';
import type {PipelineModel} from '../state/routes.js';
import {
	computeLayersFor,
	computeMaxLayers,
	computeTargetRoom,
	computeTokenRoom,
	listAreas,
	planLayers,
} from './layer-plan.js';

export type OrderedEngine = {
	readonly id: BackendId;
	readonly dataCentre: DataCentreId;
	readonly kind: string;
	readonly layers?: LayerRange;
	/** Layers of an order that is under way, which count as held. */
	readonly ordered?: LayerRange;
	/** Whether it stays: it is neither leaving nor taken for dead. */
	readonly isUsable: boolean;
	/** Whether requests could not reach it just now. */
	readonly isSuspect: boolean;
};

export type LayerOrder = {
	readonly id: BackendId;
	readonly layers: LayerRange;
	readonly reason: 'first' | 'gap' | 'neighbour' | 'relief' | 'shrink';
};

/** Tokens that an engine keeps room for when it closes a gap. */
const minTokenRoom = 12_000;
/** Share of the target room under which an engine is relieved. */
const reliefShare = 0.7;
/** How much more room a neighbour must have left when it relieves another. */
const reliefFactor = 1.2;

const readRange = ({ordered, layers}: OrderedEngine) => ordered ?? layers;
const countLayers = ({from, to}: LayerRange) => to - from;
const hasLayer = (range: LayerRange | undefined, layer: number) =>
	range !== undefined && layer >= range.from && layer < range.to;

/** Decides the next orders; an engine with an order under way gets none. */
export function planOrders(
	model: PipelineModel,
	engines: readonly OrderedEngine[],
): LayerOrder[] {
	const usable = engines.filter(({isUsable}) => isUsable);
	if (usable.every((engine) => readRange(engine) === undefined)) {
		return [...planLayers(model, usable)].map(([id, layers]) => ({
			id,
			layers,
			reason: 'first',
		}));
	}

	return listAreas(model, usable).flatMap(({engines: local, copies}) =>
		planArea(model, local, copies),
	);
}

function planArea(
	model: PipelineModel,
	local: readonly OrderedEngine[],
	copies: number,
): LayerOrder[] {
	const target =
		computeTargetRoom(
			model,
			local.map(({kind}) => kind),
			copies,
		) ?? minTokenRoom;
	const filled = planGapOrders(model, local, copies, target);
	if (filled.length > 0) {
		return filled;
	}

	const closed = closeGap(model, local);
	if (closed) {
		return [closed];
	}

	const isBusy = local.some(({ordered}) => ordered !== undefined);
	const relieved = isBusy
		? undefined
		: planRelief(model, local, {copies, target});
	return relieved ? [relieved] : [];
}

/** Fills runs of layers that too few hold by engines that are free to move. */
function planGapOrders(
	model: PipelineModel,
	local: readonly OrderedEngine[],
	copies: number,
	target: number,
): LayerOrder[] {
	const orders: LayerOrder[] = [];
	let current = local;
	for (;;) {
		const holders = current.filter(({isSuspect}) => !isSuspect);
		const gap = findGap(model, holders, copies);
		const engine = gap && chooseFree(model, holders, copies);
		if (!gap || !engine) {
			return orders;
		}

		const size = Math.max(1, computeLayersFor(model, engine.kind, target));
		const from = Math.min(gap.from, model.layers - size);
		const layers = {from, to: from + size};
		orders.push({id: engine.id, layers, reason: 'gap'});
		current = current.map((item) =>
			item === engine ? {...item, ordered: layers} : item,
		);
	}
}

/** Chooses the largest engine that stands by, else one all of whose layers others hold as well. */
function chooseFree(
	model: PipelineModel,
	holders: readonly OrderedEngine[],
	copies: number,
): OrderedEngine | undefined {
	const idle = holders.filter(({ordered}) => ordered === undefined);
	const isRedundant = (engine: OrderedEngine) => {
		const others = holders.filter((other) => other !== engine);
		const {from, to} = engine.layers ?? {from: 0, to: 0};
		for (let layer = from; layer < to; layer++) {
			const held = others.filter((other) => hasLayer(readRange(other), layer));
			if (held.length < copies) {
				return false;
			}
		}

		return true;
	};

	const standBy = idle.filter(({layers}) => layers === undefined);
	const free =
		standBy.length > 0 ? standBy : idle.filter((engine) => isRedundant(engine));
	return free.toSorted(
		(a, b) => computeMaxLayers(model, b.kind) - computeMaxLayers(model, a.kind),
	)[0];
}

/** Closes one layer of a gap that nobody holds by an engine beside it. */
function closeGap(
	model: PipelineModel,
	local: readonly OrderedEngine[],
): LayerOrder | undefined {
	const gap = findGap(model, local, 1);
	if (!gap) {
		return undefined;
	}

	let best: (LayerOrder & {room: number}) | undefined;
	for (const engine of local) {
		const isFree = engine.ordered === undefined && !engine.isSuspect;
		if (!isFree || !engine.layers) {
			continue;
		}

		const layers = extendInto(model, engine, gap);
		const room = layers
			? computeTokenRoom(model, engine.kind, countLayers(layers))
			: 0;
		if (layers && (!best || room > best.room)) {
			best = {id: engine.id, layers, reason: 'neighbour', room};
		}
	}

	return best && {id: best.id, layers: best.layers, reason: best.reason};
}

/** Takes as much of a gap as fits, but no more than about half unless it is at the edge. */
function extendInto(
	model: PipelineModel,
	{kind, layers}: OrderedEngine,
	gap: LayerRange,
): LayerRange | undefined {
	const isLeft = layers?.to === gap.from;
	const isRight = layers?.from === gap.to;
	if (!layers || (!isLeft && !isRight)) {
		return undefined;
	}

	const isAtEdge = gap.from === 0 || gap.to === model.layers;
	const wanted = isAtEdge ? countLayers(gap) : Math.ceil(countLayers(gap) / 2);
	const free =
		computeLayersFor(model, kind, minTokenRoom) - countLayers(layers);
	const taken = Math.min(wanted, free);
	if (taken <= 0) {
		return undefined;
	}

	return isLeft
		? {from: layers.from, to: layers.to + taken}
		: {from: layers.from - taken, to: layers.to};
}

/** Moves one step towards more room at the engine that has the least. */
function planRelief(
	model: PipelineModel,
	local: readonly OrderedEngine[],
	{copies, target}: {readonly copies: number; readonly target: number},
): LayerOrder | undefined {
	const readRoom = ({kind, layers}: OrderedEngine) =>
		layers
			? computeTokenRoom(model, kind, countLayers(layers))
			: Number.POSITIVE_INFINITY;
	const weak = local
		.filter(
			(engine) => !engine.isSuspect && readRoom(engine) < reliefShare * target,
		)
		.toSorted((a, b) => readRoom(a) - readRoom(b));
	for (const engine of weak) {
		const order =
			planShrink(engine, local, copies) ??
			planTakeover(model, engine, local, readRoom(engine));
		if (order) {
			return order;
		}
	}

	return undefined;
}

/** Gives up layers at an engine's edge of which the others hold enough copies. */
function planShrink(
	{id, layers}: OrderedEngine,
	local: readonly OrderedEngine[],
	copies: number,
): LayerOrder | undefined {
	if (!layers) {
		return undefined;
	}

	const isHeldElsewhere = (layer: number) => {
		const others = local.filter(
			(other) =>
				other.id !== id && !other.isSuspect && hasLayer(other.layers, layer),
		);
		return others.length >= copies;
	};

	let {from, to} = layers;
	while (to - from > 1 && isHeldElsewhere(to - 1)) {
		to--;
	}

	while (to - from > 1 && isHeldElsewhere(from)) {
		from++;
	}

	return to - from < countLayers(layers)
		? {id, layers: {from, to}, reason: 'shrink'}
		: undefined;
}

/** Has another engine take a layer at an engine's edge: one that stands by, or a neighbour. */
function planTakeover(
	model: PipelineModel,
	{layers}: OrderedEngine,
	local: readonly OrderedEngine[],
	room: number,
): LayerOrder | undefined {
	if (!layers || countLayers(layers) < 2) {
		return undefined;
	}

	const standBy = local.find(
		(other) => !other.layers && !other.ordered && !other.isSuspect,
	);
	if (standBy) {
		const half = Math.ceil(countLayers(layers) / 2);
		const size = Math.min(half, computeMaxLayers(model, standBy.kind));
		return size > 0
			? {
					id: standBy.id,
					layers: {from: layers.to - size, to: layers.to},
					reason: 'relief',
				}
			: undefined;
	}

	let best: (LayerOrder & {room: number}) | undefined;
	for (const other of local) {
		const taken = extendByOne(other.layers, layers);
		const left = taken
			? computeTokenRoom(model, other.kind, countLayers(taken))
			: 0;
		if (taken && left > reliefFactor * room && (!best || left > best.room)) {
			best = {id: other.id, layers: taken, reason: 'relief', room: left};
		}
	}

	return best && {id: best.id, layers: best.layers, reason: best.reason};
}

/** Extends a range by the nearest layer of the range beside it. */
function extendByOne(
	range: LayerRange | undefined,
	beside: LayerRange,
): LayerRange | undefined {
	if (range?.to === beside.from) {
		return {from: range.from, to: range.to + 1};
	}

	return range?.from === beside.to
		? {from: range.from - 1, to: range.to}
		: undefined;
}

/** Finds the first run of layers that fewer engines hold than wanted. */
function findGap(
	model: PipelineModel,
	holders: readonly OrderedEngine[],
	copies: number,
): LayerRange | undefined {
	const counts = Array.from({length: model.layers}, () => 0);
	for (const holder of holders) {
		const range = readRange(holder);
		for (let layer = range?.from ?? 0; layer < (range?.to ?? 0); layer++) {
			counts[layer] = (counts[layer] ?? 0) + 1;
		}
	}

	const from = counts.findIndex((count) => count < copies);
	if (from === -1) {
		return undefined;
	}

	const length = counts.slice(from).findIndex((count) => count >= copies);
	return {from, to: length === -1 ? model.layers : from + length};
}
