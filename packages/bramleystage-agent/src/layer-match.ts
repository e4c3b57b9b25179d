/** Checks the layers of a stage against those that the agent's engine holds. */
import type {Offer, StageOpen} from 'bramleystage';

/** Returns the reason why the engine can't run a stage; undefined if it can. */
export function findMismatch(
	offers: readonly Offer[],
	open: StageOpen,
): string | undefined {
	const stage = open.stages[open.index];
	const holds = offers.some(
		(offer) =>
			offer.kind === 'layers' &&
			stage !== undefined &&
			offer.model === open.model &&
			offer.version === open.version &&
			offer.fromLayer <= stage.fromLayer &&
			stage.toLayer <= offer.toLayer,
	);
	return holds ? undefined : 'The engine does not hold these layers.';
}
