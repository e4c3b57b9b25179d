/**
 * Invariants: conditions that fail only if the program has a fault. The error of
 * a violated invariant has its number, which docs/RESULT-CODES.md lists.
 */

export const invariants = {
	stageWithoutNext: 1,
	runWithoutPipeline: 2,
	missingListenerAddress: 3,
	unknownPosition: 4,
} as const;

/** Thrown when an invariant does not hold. */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';

	constructor(readonly code: number) {
		super(`Invariant ${code} does not hold.`);
	}
}

/** Throws an `InvariantError` unless the condition holds. */
export function checkInvariant(
	condition: boolean,
	name: keyof typeof invariants,
): asserts condition {
	if (!condition) {
		throw new InvariantError(invariants[name]);
	}
}
