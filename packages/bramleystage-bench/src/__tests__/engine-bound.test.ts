import {describe, expect, it} from 'vitest';
import {computeTokenBound} from '../engine-bound.js';

describe('computeTokenBound', () => {
	it('is the rate of the layers that have the least', () => {
		const engines = [
			{fromLayer: 0, toLayer: 4, layerTokensPerSecond: 400},
			{fromLayer: 4, toLayer: 8, layerTokensPerSecond: 200},
		];
		expect(computeTokenBound(engines, 8)).toBeCloseTo(50, 3);
	});

	it('gives overlapping layers to the engine with room', () => {
		const engines = [
			{fromLayer: 0, toLayer: 6, layerTokensPerSecond: 300},
			{fromLayer: 2, toLayer: 8, layerTokensPerSecond: 500},
			{fromLayer: 2, toLayer: 4, layerTokensPerSecond: 80},
		];
		expect(computeTokenBound(engines, 8)).toBeCloseTo(110, 3);
	});

	it('is nothing when a layer is held by nobody', () => {
		const engines = [{fromLayer: 0, toLayer: 3, layerTokensPerSecond: 300}];
		expect(computeTokenBound(engines, 4)).toBeCloseTo(0, 6);
	});
});
