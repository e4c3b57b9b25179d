/** Whether the engine beside the agent holds what a stage asks for. */
import type {Offer, StageOpen} from 'bramleystage';

/** Tells why the engine cannot run a stage, if it cannot. */
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
