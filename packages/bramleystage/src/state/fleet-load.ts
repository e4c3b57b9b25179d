/**
 * Load of one service, as one gateway carries it and as all gateways carry it together.
 * Gateways carry very different numbers of callers, so a gateway's own load says little
 * about the fleet's.
 */

/** Rates of the requests of one priority, each a second. */
export type PriorityRates = {
	/** 0 (most urgent) to 9. */
	readonly priority: number;
	readonly arrivals: number;
	readonly admissions: number;
};

export type ServiceLoad = {
	/** Requests that servers work on. */
	readonly running: number;
	/** Prompt tokens and expected answer tokens of these requests. */
	readonly tokens: number;
	/** Requests that end, a second. */
	readonly ends: number;
	/** Rates of the priorities that had requests lately, most urgent first. */
	readonly rates: readonly PriorityRates[];
};

export type FleetLoad = {
	/** Load that this gateway carries. */
	readonly own: ServiceLoad;
	/** Load of all gateways, including this one; estimated if `isMeasured` is false. */
	readonly fleet: ServiceLoad;
	/** Whether `fleet` comes from what the gateways tell each other. */
	readonly isMeasured: boolean;
	/** Age of the oldest part of `fleet`, in milliseconds. */
	readonly ageMs: number;
};

export const emptyServiceLoad: ServiceLoad = {
	running: 0,
	tokens: 0,
	ends: 0,
	rates: [],
};

/**
 * Computes by how much the fleet's load exceeds this gateway's own, at least 1. A gateway
 * with little work of its own gets the number of gateways, as the quotient says nothing then.
 */
export function computeFleetFactor(
	{own, fleet, isMeasured}: FleetLoad,
	gateways: number,
): number {
	if (!isMeasured || own.running === 0) {
		return Math.max(1, gateways);
	}

	return Math.max(1, fleet.running / own.running);
}
