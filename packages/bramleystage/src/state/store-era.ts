/**
 * The era of the platform's store, which rises each time that the store is
 * restored from an older copy. For some seconds after that, the store may show
 * entries of backend servers that have left meanwhile: such an entry expires only
 * when its server has sent no heartbeat for a while. Until then the list does not
 * override what was known before.
 */

/** Time for which the list may show servers that are gone, in milliseconds: they expire after three missed heartbeats. */
const restoredListMs = 8000;

export type StoreEraState = {
	/** Newest era; undefined before the first answer. */
	readonly era?: number;
	/** Time at which an answer first showed the newest era, in milliseconds; absent for the first era. */
	readonly restoredAt?: number;
};

export const createStoreEra = (): StoreEraState => ({});

/** Records the era of an answer. Answers of an older era, which were delayed, change nothing. */
export function recordStoreEra(
	state: StoreEraState,
	era: number,
	now: number,
): StoreEraState {
	if (state.era === undefined) {
		return {era};
	}

	return era > state.era ? {era, restoredAt: now} : state;
}

/** Whether the list may still show entries from before the store was restored. */
export const isListRestored = (
	{restoredAt}: StoreEraState,
	now: number,
): boolean => restoredAt !== undefined && now - restoredAt < restoredListMs;
