/** The choice of a server of a plain service. */
import {
	type Backend,
	type BackendId,
	type DataCentreId,
	pickLowest,
} from 'bramleystage';
import type {BackendHealth} from './backend-health.js';
import type {LimitedChoice} from './limited-choice.js';
import type {PathCosts} from './path-costs.js';

export type BackendChoiceContext = {
	readonly health: Pick<BackendHealth, 'isAvoided' | 'isPaused'>;
	readonly costs: PathCosts;
	readonly limitedChoice: LimitedChoice;
	readonly dataCentre: DataCentreId;
};

/** Chooses the least loaded server that isn't left out, preferring this data centre among equals. */
export function chooseBackend(
	open: readonly Backend[],
	isLeftOut: (id: BackendId) => boolean,
	{health, costs, limitedChoice, dataCentre}: BackendChoiceContext,
): Backend | undefined {
	const untried = open.filter(({id}) => !health.isPaused(id) && !isLeftOut(id));
	const preferred = untried.filter(({id}) => !health.isAvoided(id));
	const candidates = [preferred, untried].find((list) => list.length > 0);
	return (
		candidates &&
		pickLowest(
			limitedChoice.selectPreferred(
				candidates,
				costs.createRoomCheck(candidates),
			),
			(backend) =>
				costs.countRequests(backend.id) +
				(backend.dataCentre === dataCentre ? 0 : 0.5),
		)
	);
}
