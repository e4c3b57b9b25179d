/**
 * Decides which engines are to hold other layers than they do. At the start all
 * layers are placed at once; later an engine that holds nothing is given what is
 * held least, and a gap that no empty engine fills is closed by its neighbours.
 */
import type {BackendId, DataCentreId} from '../protocol/ids.js';
import type {LayerRange} from '../state/backends.js';
import type {PipelineModel} from '../state/routes.js';
import {splitBy} from '../state/split-by.js';
import {
	computeMaxLayers,
	computeTokenRoom,
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
};

export type LayerOrder = {readonly id: BackendId; readonly layers: LayerRange};

/** Tokens that an engine keeps room for when it takes more layers. */
const minTokenRoom = 40_000;

const spanOf = (engine: OrderedEngine) => engine.ordered ?? engine.layers;

/** Decides the next orders; an engine with an order under way gets none. */
export function planOrders(
	model: PipelineModel,
	engines: readonly OrderedEngine[],
): LayerOrder[] {
	const usable = engines.filter(({isUsable}) => isUsable);
	if (usable.every((engine) => spanOf(engine) === undefined)) {
		return [...planLayers(model, usable)].map(([id, layers]) => ({id, layers}));
	}

	const planned = new Map<BackendId, LayerRange>();
	const read = (engine: OrderedEngine) =>
		planned.get(engine.id) ?? spanOf(engine);
	const nominal = computeNominalRoom(model, usable);
	for (const engine of usable.filter((item) => spanOf(item) === undefined)) {
		const span = chooseSpan(model, engine, usable, read, nominal);
		if (span) {
			planned.set(engine.id, span);
		}
	}

	for (const [, local] of splitBy(usable, ({dataCentre}) => dataCentre)) {
		extendNeighbours(model, local, read, planned);
	}

	return [...planned].map(([id, layers]) => ({id, layers}));
}

/** Token room that the engines have on average with one full copy in each group. */
function computeNominalRoom(
	model: PipelineModel,
	engines: readonly OrderedEngine[],
): number {
	const rooms = engines.flatMap((engine) => {
		const span = spanOf(engine);
		return span
			? [computeTokenRoom(model, engine.kind, span.to - span.from)]
			: [];
	});
	rooms.sort((a, b) => a - b);
	return rooms[Math.floor(rooms.length / 2)] ?? minTokenRoom;
}

/** Chooses the layers of an empty engine: the run of layers that is held least. */
function chooseSpan(
	model: PipelineModel,
	engine: OrderedEngine,
	usable: readonly OrderedEngine[],
	read: (engine: OrderedEngine) => LayerRange | undefined,
	nominal: number,
): LayerRange | undefined {
	const size = chooseSize(model, engine.kind, nominal);
	if (size === 0) {
		return undefined;
	}

	const needs = Array.from({length: model.layers}, (_, layer) =>
		computeNeed(model, engine, layer, usable, read),
	);
	let best = 0;
	let bestNeed = -1;
	for (let from = 0; from + size <= model.layers; from++) {
		const need = needs
			.slice(from, from + size)
			.reduce((sum, value) => sum + value, 0);
		if (need > bestNeed + 1e-9) {
			best = from;
			bestNeed = need;
		}
	}

	return {from: best, to: best + size};
}

function chooseSize(
	model: PipelineModel,
	kind: string,
	nominal: number,
): number {
	let size = computeMaxLayers(model, kind);
	while (size > 1 && computeTokenRoom(model, kind, size) < nominal * 0.9) {
		size--;
	}

	return size;
}

/** Weight of a layer that the whole fleet lacks, against one that a data centre lacks. */
const uncoveredNeed = 1000;
const locallyUncoveredNeed = 30;

/** How much a layer wants another holder. */
function computeNeed(
	model: PipelineModel,
	engine: OrderedEngine,
	layer: number,
	usable: readonly OrderedEngine[],
	read: (engine: OrderedEngine) => LayerRange | undefined,
): number {
	let everywhere = 0;
	let local = 0;
	for (const other of usable) {
		const span = read(other);
		if (!span || layer < span.from || layer >= span.to) {
			continue;
		}

		const room = computeTokenRoom(model, other.kind, span.to - span.from);
		everywhere += room;
		local += other.dataCentre === engine.dataCentre ? room : 0;
	}

	if (everywhere === 0) {
		return uncoveredNeed;
	}

	return local === 0 ? locallyUncoveredNeed : 1e5 / (local + 0.1 * everywhere);
}

/** Closes gaps of a data centre by its engines that hold the layers beside them. */
function extendNeighbours(
	model: PipelineModel,
	local: readonly OrderedEngine[],
	read: (engine: OrderedEngine) => LayerRange | undefined,
	planned: Map<BackendId, LayerRange>,
) {
	for (;;) {
		const gap = findGap(model, local, read);
		if (!gap) {
			return;
		}

		let best: {id: BackendId; layers: LayerRange; room: number} | undefined;
		for (const engine of local) {
			const layers = extendTo(engine, read(engine), gap);
			const isBusy = engine.ordered !== undefined;
			if (!layers || isBusy) {
				continue;
			}

			const size = layers.to - layers.from;
			const room = computeTokenRoom(model, engine.kind, size);
			if (
				size <= computeMaxLayers(model, engine.kind) &&
				room >= minTokenRoom &&
				(!best || room > best.room)
			) {
				best = {id: engine.id, layers, room};
			}
		}

		if (!best) {
			return;
		}

		planned.set(best.id, best.layers);
	}
}

/** Gives the span that takes in the layer at the nearer end of a gap. */
function extendTo(
	engine: OrderedEngine,
	span: LayerRange | undefined,
	gap: LayerRange,
): LayerRange | undefined {
	if (span?.to === gap.from) {
		return {from: span.from, to: span.to + 1};
	}

	return span?.from === gap.to ? {from: span.from - 1, to: span.to} : undefined;
}

/** Finds the first run of layers that nobody of a data centre holds. */
function findGap(
	model: PipelineModel,
	local: readonly OrderedEngine[],
	read: (engine: OrderedEngine) => LayerRange | undefined,
): LayerRange | undefined {
	const spans = local.flatMap((engine) => read(engine) ?? []);
	const isHeld = (layer: number) =>
		spans.some(({from, to}) => layer >= from && layer < to);
	let from = 0;
	while (from < model.layers && isHeld(from)) {
		from++;
	}

	let to = from;
	while (to < model.layers && !isHeld(to)) {
		to++;
	}

	return from < to && spans.length > 0 ? {from, to} : undefined;
}
