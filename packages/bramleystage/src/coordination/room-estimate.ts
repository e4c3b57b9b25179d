/**
 * How many streams a model service can carry, and how many it can admit a second, from the
 * server list and the fleet's measured load. Addresses floods in which each gateway sees only
 * its own calls: together they admit more than the engines can carry, engines reject or queue
 * the rest, and streams begin late long after the flood.
 */
import type {Milliseconds} from '../protocol/decision.js';
import type {Backend} from '../state/backends.js';
import type {FleetLoad, ServiceLoad} from '../state/fleet-load.js';
import type {PipelineModel} from '../state/routes.js';
import {computeTokenCapacity} from './layer-plan.js';

/** Share of the capacity that admission aims at; the rest absorbs what stale totals let through. */
const targetFill = 0.9;
/** Time over which the distance to the target is closed, in milliseconds; the age of the totals is added, as correcting faster than they follow oscillates. */
const horizonMs = 1000;
/** Share of the present completions that is admitted in any case, so that no priority starves while an excess drains. */
const minEndsShare = 0.25;
/** Share of the capacity below which nothing is shed. */
const minShedFill = 0.7;
/** Share of the capacity above which a shortage begins; above `minShedFill`, so that the state doesn't flap. */
const shortageFill = 0.75;
/** Multiple of the admission rate above which arrivals begin a shortage. */
const shortageArrivals = 1.05;
/** Time for which demand must fit until a shortage has ended, in milliseconds. */
const calmMs = 1000;
const msPerSecond = 1000;

export type ServiceCapacity = {
	/** Requests that the engines run concurrently as the first stage. */
	readonly slots: number;
	/** Tokens whose KV cache fits in each layer. */
	readonly tokens: number;
};

/** Room of a service for further requests. */
export type RoomEstimate = {
	/** Streams that the service can carry at their present mean size. */
	readonly capacity: number;
	/** Streams in flight, projected from the age of the totals to the present. */
	readonly running: number;
	/** Share of the capacity that was in use at the age of the totals; above 1 if requests wait at the engines. */
	readonly measuredFill: number;
	/** Share of the capacity that is in use at present by this projection. */
	readonly fill: number;
	/** Requests that arrive a second. */
	readonly arrivals: number;
	/** Requests that the fleet can admit a second. */
	readonly admissionRate: number;
};

export type Shortage = {
	readonly isShort: boolean;
	/** When demand last exceeded what can be admitted, in milliseconds. */
	readonly exceededAt: Milliseconds;
};

export const initialShortage: Shortage = {
	isShort: false,
	exceededAt: Number.NEGATIVE_INFINITY,
};

/** Computes what usable engines can carry: the layer with the least KV cache limits the tokens. */
export function computeServiceCapacity(
	model: PipelineModel,
	engines: ReadonlyArray<Pick<Backend, 'kind' | 'layers'>>,
): ServiceCapacity {
	const changes = Array.from({length: model.layers + 1}, () => 0);
	let firstEngines = 0;
	for (const {kind, layers} of engines) {
		if (!layers || kind === undefined || layers.to <= layers.from) {
			continue;
		}

		const held = layers.to - layers.from;
		const tokens = Math.max(0, computeTokenCapacity(model, kind, held));
		firstEngines += layers.from === 0 ? 1 : 0;
		changes[layers.from] = (changes[layers.from] ?? 0) + tokens;
		changes[layers.to] = (changes[layers.to] ?? 0) - tokens;
	}

	let tokens = Number.POSITIVE_INFINITY;
	let layerTokens = 0;
	for (const change of changes.slice(0, model.layers)) {
		layerTokens += change;
		tokens = Math.min(tokens, layerTokens);
	}

	return {slots: firstEngines * model.slots, tokens: Math.max(0, tokens)};
}

/** Computes the streams of the present mean size that fit. */
function computeStreamCapacity(
	{slots, tokens}: ServiceCapacity,
	{running, tokens: usedTokens}: ServiceLoad,
): number {
	return usedTokens > 0 && running > 0
		? Math.min(slots, (tokens * running) / usedTokens)
		: slots;
}

const sumRates = (rates: readonly number[]) =>
	rates.reduce((sum, rate) => sum + rate, 0);

/** Estimates the room of a service; undefined if no engines serve it. */
export function computeRoom(
	serviceCapacity: ServiceCapacity,
	{fleet, ageMs}: Pick<FleetLoad, 'fleet' | 'ageMs'>,
): RoomEstimate | undefined {
	const capacity = computeStreamCapacity(serviceCapacity, fleet);
	if (serviceCapacity.slots <= 0 || serviceCapacity.tokens <= 0) {
		return undefined;
	}

	const {ends, rates} = fleet;
	const admissions = sumRates(rates.map((entry) => entry.admissions));
	const sinceMs = Math.max(0, ageMs);
	// Adds what was admitted and ended since the totals were taken; otherwise old totals let in too many.
	const running = Math.max(
		0,
		fleet.running + ((admissions - ends) * sinceMs) / msPerSecond,
	);
	const room = capacity * targetFill - running;
	const rate = ends + (room * msPerSecond) / (horizonMs + sinceMs);
	return {
		capacity,
		running,
		measuredFill: fleet.running / capacity,
		fill: running / capacity,
		arrivals: sumRates(rates.map(({arrivals}) => arrivals)),
		admissionRate: Math.max(ends * minEndsShare, rate),
	};
}

/**
 * Whether demand exceeds what can be admitted now. Below `minShedFill` it never does, by the
 * totals as well as by the projection: while a service fills up, completions lag behind. So a
 * gateway without fresh totals, whose own work times the number of gateways stands for the
 * fleet's, can always carry more than its part of a quarter of the capacity.
 */
export const isRoomExceeded = ({
	measuredFill,
	fill,
	arrivals,
	admissionRate,
}: RoomEstimate): boolean =>
	Math.min(measuredFill, fill) >= minShedFill && arrivals > admissionRate;

/** Updates whether a service is short: it begins above what ends it, and ends after a calm time. */
export function updateShortage(
	shortage: Shortage,
	room: RoomEstimate,
	now: Milliseconds,
): Shortage {
	const {fill, arrivals, admissionRate} = room;
	if (!shortage.isShort) {
		const begins =
			isRoomExceeded(room) &&
			fill >= shortageFill &&
			arrivals > admissionRate * shortageArrivals;
		return begins ? {isShort: true, exceededAt: now} : shortage;
	}

	if (isRoomExceeded(room)) {
		return {isShort: true, exceededAt: now};
	}

	return now - shortage.exceededAt >= calmMs ? initialShortage : shortage;
}
