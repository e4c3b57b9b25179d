/** Model and engines for the tests of layer placement. */
import {
	type BackendId,
	toBackendId,
	toDataCentreId,
	toModelName,
} from '../../protocol/ids.js';
import type {LayerRange} from '../../state/backends.js';
import type {PipelineModel} from '../../state/routes.js';
import type {EnginePlacement} from '../engine-placement.js';

export const model: PipelineModel = {
	model: toModelName('guide'),
	layers: 80,
	layerMegabytes: 1750,
	kvTokenBytes: 610_388,
	slots: 134,
	stepMs: 0.85,
	prefillTokensPerMs: 272,
	tokensPerEvent: 2,
	activationBytes: 30_519,
	linkMbps: 6500,
	loadMs: 14_000,
	kinds: new Map([
		['large', {megabytes: 36_000, stepFactor: 3.1, prefillFactor: 3.2}],
		['middle', {megabytes: 21_600, stepFactor: 16, prefillFactor: 8.2}],
		['small', {megabytes: 14_400, stepFactor: 15, prefillFactor: 15}],
	]),
};

/** Creates the engines of one data centre, given the number of each kind. */
export function createEngines(
	dataCentre: string,
	counts: Readonly<Record<string, number>>,
): EnginePlacement[] {
	return Object.entries(counts).flatMap(([kind, count]) =>
		Array.from({length: count}, (_, index) => ({
			id: toBackendId(`${dataCentre}-${kind}-${index}`),
			dataCentre: toDataCentreId(dataCentre),
			kind,
			isUsable: true,
			isSuspect: false,
		})),
	);
}

/** Creates a fleet of three data centres. */
export const createFleet = (): EnginePlacement[] => [
	...createEngines('a', {large: 1, middle: 8, small: 5}),
	...createEngines('b', {large: 3, middle: 3, small: 5}),
	...createEngines('c', {large: 1, middle: 4, small: 8}),
];

/** Applies orders: the engines then hold the layers assigned to them. */
export const applyOrders = (
	engines: readonly EnginePlacement[],
	orders: ReadonlyArray<{id: BackendId; layers: LayerRange}>,
): EnginePlacement[] =>
	engines.map((engine) => {
		const order = orders.find(({id}) => id === engine.id);
		return order ? {...engine, layers: order.layers} : engine;
	});

/** Counts the engines of a data centre that hold each layer. */
export function countHolders(
	engines: readonly EnginePlacement[],
	dataCentre: string,
): number[] {
	return Array.from(
		{length: model.layers},
		(_, layer) =>
			engines.filter(
				(engine) =>
					engine.isUsable &&
					engine.dataCentre === toDataCentreId(dataCentre) &&
					engine.layers !== undefined &&
					layer >= engine.layers.from &&
					layer < engine.layers.to,
			).length,
	);
}
