/** Describes engines for the planning of their layers. */
import type {Backend, EnginePlacement, LayerRange} from 'bramleystage';
import type {Fleet} from './fleet.js';
import type {LimitWatch} from './limit-watch.js';

export const describeEngine = (
	{id, dataCentre, kind = '', layers, isDraining}: Backend,
	pendingLayers: LayerRange | undefined,
	{
		fleet,
		limits,
	}: {
		readonly fleet: Pick<Fleet, 'health'>;
		readonly limits: Pick<LimitWatch, 'findLimit'>;
	},
): EnginePlacement => ({
	id,
	dataCentre,
	kind,
	layers,
	pendingLayers,
	isUsable: !isDraining && !fleet.health.isLost(id),
	isSuspect: fleet.health.isUnreachable(id),
	isLimited: limits.findLimit(id) !== undefined,
});
