import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {emptyServiceLoad, type ServiceLoad} from '../../state/fleet-load.js';
import {computeTokenCapacity} from '../layer-plan.js';
import {
	computeRoom,
	computeServiceCapacity,
	initialShortage,
	updateShortage,
} from '../room-estimate.js';
import {model} from './layer-fixtures.js';

const capacity = {slots: 1000, tokens: 1e9};

const buildLoad = (
	running: number,
	arrivals: number,
	ends = arrivals,
): {fleet: ServiceLoad; ageMs: number} => ({
	fleet: {
		running,
		tokens: running * 500,
		ends,
		rates: [{priority: 0, arrivals, admissions: ends}],
	},
	ageMs: 500,
});

// Guards against slots of engines that can't be a first stage, and against layers that few engines hold.
test('the engines at layer 0 set the slots, and the layer with the least cache the tokens', () => {
	const engines = [
		{kind: 'large', layers: {from: 0, to: 10}},
		{kind: 'large', layers: {from: 0, to: 10}},
		{kind: 'large', layers: {from: 10, to: 20}},
		{kind: 'large', layers: {from: 5, to: 20}},
		{kind: 'large', layers: {from: 20, to: 80}},
		{kind: 'large'},
		{layers: {from: 0, to: 80}},
	];
	const {slots, tokens} = computeServiceCapacity(
		{...model, layerMegabytes: 100},
		engines,
	);
	expect(slots).toBe(2 * model.slots);
	expect(tokens).toBeCloseTo(
		computeTokenCapacity({...model, layerMegabytes: 100}, 'large', 60),
	);
	expect(computeServiceCapacity(model, engines.slice(0, 4)).tokens).toBe(0);
});

// Guards against refusals by this part where no engine serves the model: they have their own reason.
test('a service without engines for all layers has no room estimate', () => {
	const load = buildLoad(100, 100);
	expect(computeRoom({slots: 0, tokens: 1e6}, load)).toBeUndefined();
	expect(computeRoom({slots: 100, tokens: 0}, load)).toBeUndefined();
});

test('long requests lower the number of streams that fit', () => {
	const room = computeRoom({slots: 1000, tokens: 100_000}, buildLoad(100, 50));
	expect(room?.capacity).toBe(200);
	const empty = computeRoom(capacity, {fleet: emptyServiceLoad, ageMs: 0});
	expect(empty).toMatchObject({capacity: 1000, fill: 0, arrivals: 0});
});

// Guards against a service that admits nothing while an excess of streams drains.
test('some requests are admitted as long as streams end', () => {
	fc.assert(
		fc.property(
			fc.double({min: 1, max: 5000, noNaN: true}),
			fc.double({min: 0.1, max: 500, noNaN: true}),
			(running, ends) => {
				const room = computeRoom(capacity, buildLoad(running, 1000, ends));
				expect(room?.admissionRate).toBeGreaterThanOrEqual(ends / 4);
			},
		),
	);
});

// Guards against a state that flaps while demand varies around what can be admitted.
test('a shortage begins above what ends it, and ends after a second of calm', () => {
	const list = [
		{at: 0, running: 690, arrivals: 5000},
		{at: 100, running: 740, arrivals: 5000},
		{at: 200, running: 760, arrivals: 5000},
		{at: 300, running: 710, arrivals: 5000},
		{at: 400, running: 690, arrivals: 5000},
		{at: 1200, running: 690, arrivals: 5000},
		{at: 1300, running: 690, arrivals: 5000},
	];
	let shortage = initialShortage;
	const states = list.map(({at, running, arrivals}) => {
		const room = computeRoom(capacity, buildLoad(running, arrivals, 100));
		shortage = room ? updateShortage(shortage, room, at) : shortage;
		return shortage.isShort;
	});
	expect(states).toEqual([false, false, true, true, true, true, false]);
});
