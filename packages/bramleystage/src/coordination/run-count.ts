/**
 * Counts the runs of a request towards its route's limit. A run counts unless its
 * instance is known to have ended, whatever else went wrong there. Evidence may
 * come later, so the count is made anew for each decision and may fall.
 */
import type {EndEvidence, InstanceWork} from '../state/instance-ends.js';

/** Finds the evidence that the instance of a run has ended since. */
export type FindEndEvidence = (run: InstanceWork) => EndEvidence | undefined;

/** Counts the runs that the route's limit applies to. */
export const countRuns = (
	runs: readonly InstanceWork[],
	findEvidence: FindEndEvidence,
): number => runs.filter((run) => findEvidence(run) === undefined).length;
