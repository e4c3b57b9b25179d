/**
 * Traffic that this process sends over the links between data centres, as an
 * exponentially decaying average. It shows the load of a link before the load
 * causes delay.
 */
import type {DataCentreId} from '../protocol/ids.js';

/** Time constant of the average, in milliseconds. */
const decayMs = 1000;

/** Decayed sum of the bytes sent, as of a time. */
type Meter = {readonly bytes: number; readonly at: number};

/** Meters by link, one for each direction of the traffic. */
export type LinkLoads = ReadonlyMap<string, Meter>;

export const createLinkLoads = (): LinkLoads => new Map();

const formatLink = (from: DataCentreId, to: DataCentreId) => `${from}>${to}`;

const computeDecayed = ({bytes, at}: Meter, now: number) =>
	bytes * Math.exp((at - now) / decayMs);

/** Adds a transfer of some bytes from one data centre to another. */
export function recordTransfer(
	loads: LinkLoads,
	[from, to]: readonly [DataCentreId, DataCentreId],
	bytes: number,
	now: number,
): LinkLoads {
	const link = formatLink(from, to);
	const known = loads.get(link);
	const decayed = known ? computeDecayed(known, now) : 0;
	return new Map(loads).set(link, {bytes: decayed + bytes, at: now});
}

/** Computes the decaying average rate of a link, in Mbit/s. */
export function computeLinkMbps(
	loads: LinkLoads,
	[from, to]: readonly [DataCentreId, DataCentreId],
	now: number,
): number {
	const known = loads.get(formatLink(from, to));
	return known ? (computeDecayed(known, now) * 8) / (decayMs * 1000) : 0;
}
