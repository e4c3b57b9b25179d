/**
 * Where reading the configuration from the store continues, and when the newest
 * version is loaded instead.
 */
import type {StoreEra, StoreOffset} from './platform-port.js';

/** How often a gateway that polls loads the newest version regardless of the polls, in milliseconds. */
const refreshIntervalMs = 5000;
/** Age of an offset up to which reading continues there, in milliseconds: bounds the records of other keys that are read too. */
const maxResumeAgeMs = 300_000;

export type ReadPosition = {
	readonly next: StoreOffset;
	/** Era in which `next` is valid. */
	readonly era: StoreEra;
	/** Version in force after the read. */
	readonly version: number;
	/** When the read began; steady-clock time in milliseconds. */
	readonly readAt: number;
};

/**
 * Chooses to read on at a position; undefined if the newest version is to be
 * loaded. Records pile up behind a position if a version has come from elsewhere
 * since; the numbers of versions tell nothing, as they rise in uneven steps.
 */
export function choosePosition(
	position: ReadPosition | undefined,
	{version, refreshedAt}: {version: number; refreshedAt: number},
	now: number,
): ReadPosition | undefined {
	return position?.version === version &&
		now - position.readAt <= maxResumeAgeMs &&
		now - refreshedAt <= refreshIntervalMs
		? position
		: undefined;
}
