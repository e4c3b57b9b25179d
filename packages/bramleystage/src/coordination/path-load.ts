/**
 * The load of engines as first stages over all gateways, and the choice of a first
 * stage by it. Load pattern: gateways carry very different numbers of callers, and all
 * of them see the same engine empty at the same time. So the load of an engine is
 * estimated from this gateway's own work, the work of the other gateways together, and
 * the engine's last report; the choice among first stages of near-equal cost is drawn.
 */
import {emptyServiceLoad, type FleetLoad} from '../state/fleet-load.js';
import {pickLowest} from '../state/pick-lowest.js';

/** Age at which an engine's report no longer counts, in milliseconds: by then its queue may have filled and drained. */
const maxReportAgeMs = 2000;
/** Requests for each engine that an even spread of the other gateways' work is assumed with; a gateway with few requests of its own says little about where those of the others are. With more, slots of another data centre are lent too late. */
const evenRequests = 1;
/** Load of slots or KV cache from which on crowding adds to the cost; below 1, so that other data centres lend room gradually and not all at once. */
const crowdedLoad = 0.8;
/** Cost of an engine whose slots or KV cache are all taken, in milliseconds: above the hop to another data centre and back. */
const fullCostMs = 100;
/** Difference of costs that is no reason for a choice, in milliseconds. */
const minToleranceMs = 0.5;
/** Further difference that an outdated load may explain once slots are half taken, in milliseconds. */
const loadToleranceMs = 8;
/** Slot load from which on the whole tolerance holds. */
const toleranceLoad = 0.5;
/** Difference of costs above which a first stage is kept out for another reason than load, in milliseconds. */
const incomparableMs = 1e6;
/** First stages that are drawn at least. */
const minDraws = 2;
/** First stages that a gateway draws further if all work is its own; with three even gateways, two draws alone spread the load less evenly than no draw. */
const ownDraws = 30;
/** Weight in the draw of a first stage without a free slot. */
const minWeight = 0.5;

/** For gateways that don't measure the load of the fleet. */
export const unmeasuredLoad: FleetLoad = {
	own: emptyServiceLoad,
	fleet: emptyServiceLoad,
	isMeasured: false,
	ageMs: 0,
};

/** What an engine says of the requests that it received as the first stage, from all gateways. */
export type EngineLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

export type EngineLoadReport = EngineLoad & {
	/** Steady-clock time at which it arrived, in milliseconds. */
	readonly receivedAt: number;
	/** Requests that this gateway had there then, as the first stage. */
	readonly ownRequests: number;
};

/** Work of one kind, in requests or tokens, at one of several engines. */
export type EngineWork = {
	/** This gateway's work at the engine. */
	readonly own: number;
	/** This gateway's work at all the engines. */
	readonly ownTotal: number;
	/** Work of the other gateways at all the engines. */
	readonly othersTotal: number;
	/** Part of the capacity of all the engines that is the engine's. */
	readonly share: number;
	/** Own work with which an even spread counts as much as the own one. */
	readonly evenWork: number;
};

/** Estimates the work of all gateways at an engine: the others spread theirs like this gateway, the less surely the less it has. */
export function computeFleetWork({
	own,
	ownTotal,
	othersTotal,
	share,
	evenWork,
}: EngineWork): number {
	const basis = ownTotal + evenWork;
	const part = basis > 0 ? (own + evenWork * share) / basis : share;
	return own + othersTotal * part;
}

/** Computes the own work, in requests, with which an even spread over the engines counts as much as the own one. */
export const computeEvenWork = (engines: number): number =>
	evenRequests * engines;

/** Computes the weight of a report against the estimate, from 1 for a new one to 0. */
export const computeReportWeight = (
	report: Pick<EngineLoadReport, 'receivedAt'> | undefined,
	now: number,
): number =>
	report ? Math.max(0, 1 - (now - report.receivedAt) / maxReportAgeMs) : 0;

/** Estimates the requests of the other gateways at all engines from the reports of some; undefined if there is no recent one. */
export function computeReportedOthers(
	reports: ReadonlyArray<EngineLoadReport | undefined>,
	now: number,
): number | undefined {
	let weightSum = 0;
	let others = 0;
	for (const report of reports) {
		const weight = computeReportWeight(report, now);
		if (report && weight > 0) {
			const {running, waiting, ownRequests} = report;
			weightSum += weight;
			others += weight * Math.max(0, running + waiting - ownRequests);
		}
	}

	return weightSum > 0 ? (others / weightSum) * reports.length : undefined;
}

/** Computes the requests at an engine from the estimate and its last report, to which the own requests since are added. */
export function computeBlendedRequests(
	estimated: number,
	ownRequests: number,
	report: EngineLoadReport | undefined,
	now: number,
): number {
	if (!report) {
		return estimated;
	}

	const weight = computeReportWeight(report, now);
	const reported = Math.max(
		ownRequests,
		report.running + report.waiting + ownRequests - report.ownRequests,
	);
	return weight * reported + (1 - weight) * estimated;
}

/** Computes what the load of an engine's slots or KV cache adds to its cost, in milliseconds. */
export const computeCrowdCost = (load: number): number =>
	(fullCostMs * Math.max(0, load - crowdedLoad)) / (1 - crowdedLoad);

/** Whether an engine's report says that new requests wait there. */
export const isCrowded = ({running, waiting, slots}: EngineLoad): boolean =>
	waiting > 0 || (slots > 0 && running >= slots);

export type FirstStageOption = {
	/** Cost of the cheapest path from there, in milliseconds. */
	readonly cost: number;
	/** Requests for each slot. */
	readonly slotLoad: number;
	readonly slots: number;
};

const countFreeSlots = ({slotLoad, slots}: FirstStageOption) =>
	slots * (1 - slotLoad);

export type FirstStageDraw = {
	/** Part of the work of all gateways that is this one's, from 0 to 1. */
	readonly ownShare: number;
	/** Returns a number from 0 to below 1. */
	readonly drawRandom: () => number;
};

/**
 * Chooses a first stage: of two that are drawn by their free slots among those of
 * near-equal cost, the cheaper one (power of two choices). A gateway that sends much of
 * the work knows the load well and draws more. Those without a free slot are chosen only
 * if no other one has any.
 */
export function chooseFirstStage<Option extends FirstStageOption>(
	options: readonly Option[],
	{ownShare, drawRandom}: FirstStageDraw,
): Option | undefined {
	const cheapest = pickLowest(options, ({cost}) => cost);
	if (!cheapest) {
		return undefined;
	}

	const comparable = options.filter(
		({cost}) => cost - cheapest.cost < incomparableMs,
	);
	const free = comparable.filter((option) => countFreeSlots(option) >= 1);
	const candidates = free.length > 0 ? free : comparable;
	const lowest = pickLowest(candidates, ({cost}) => cost) ?? cheapest;
	const maxCost =
		lowest.cost +
		minToleranceMs +
		loadToleranceMs * Math.min(1, lowest.slotLoad / toleranceLoad);
	const near = candidates.filter(({cost}) => cost <= maxCost);
	const draws = minDraws + Math.round(ownDraws * ownShare);
	// The choice of an idle fleet is the same as without a known load.
	const isIdle = near.every(({slotLoad}) => slotLoad === 0);
	return pickLowest(
		isIdle
			? near
			: Array.from({length: draws}).flatMap(
					() => drawByFreeSlots(near, drawRandom) ?? [],
				),
		({cost}) => cost,
	);
}

function drawByFreeSlots<Option extends FirstStageOption>(
	options: readonly Option[],
	drawRandom: () => number,
): Option | undefined {
	const weights = options.map((option) =>
		Math.max(minWeight, countFreeSlots(option)),
	);
	let rest = drawRandom() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [index, weight] of weights.entries()) {
		rest -= weight;
		if (rest < 0) {
			return options[index];
		}
	}

	return options.at(-1);
}
