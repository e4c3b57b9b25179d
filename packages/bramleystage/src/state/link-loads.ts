/**
 * Traffic that this process sends over the links between data centres, as an
 * average that decays, so that a link's load is known before it shows as delay.
 */
import type {DataCentreId} from '../protocol/ids.js';

/** Time constant of the average, in milliseconds. */
const decayMs = 1000;

type Meter = {readonly bytes: number; readonly at: number};

/** Meters by the two ends, in the direction of the traffic. */
export type LinkLoads = ReadonlyMap<string, Meter>;

export const createLinkLoads = (): LinkLoads => new Map();

const formatLink = (from: DataCentreId, to: DataCentreId) => `${from}>${to}`;

const computeDecayed = ({bytes, at}: Meter, now: number) =>
	bytes * Math.exp((at - now) / decayMs);

/** Records a transfer. */
export function recordTransfer(
	loads: LinkLoads,
	[from, to]: readonly [DataCentreId, DataCentreId],
	bytes: number,
	now: number,
): LinkLoads {
	const link = formatLink(from, to);
	const known = loads.get(link);
	const rest = known ? computeDecayed(known, now) : 0;
	return new Map(loads).set(link, {bytes: rest + bytes, at: now});
}

/** Computes the mean rate of a link, in Mbit/s. */
export function computeLinkMbps(
	loads: LinkLoads,
	[from, to]: readonly [DataCentreId, DataCentreId],
	now: number,
): number {
	const known = loads.get(formatLink(from, to));
	return known ? (computeDecayed(known, now) * 8) / (decayMs * 1000) : 0;
}
