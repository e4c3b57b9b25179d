import {describe, expect, it} from 'vitest';
import {computeTokenBound} from '../engine-bound.js';

describe('computeTokenBound', () => {
	it('equals the token rate of the layers with the least engine rate', () => {
		const engines = [
			{fromLayer: 0, toLayer: 4, layerTokensPerSecond: 400},
			{fromLayer: 4, toLayer: 8, layerTokensPerSecond: 200},
		];
		expect(computeTokenBound(engines, 8)).toBeCloseTo(50, 3);
	});

	it('assigns overlapping layers to the engine with unused rate', () => {
		const engines = [
			{fromLayer: 0, toLayer: 6, layerTokensPerSecond: 300},
			{fromLayer: 2, toLayer: 8, layerTokensPerSecond: 500},
			{fromLayer: 2, toLayer: 4, layerTokensPerSecond: 80},
		];
		expect(computeTokenBound(engines, 8)).toBeCloseTo(110, 3);
	});

	it('is zero if no engine holds a layer', () => {
		const engines = [{fromLayer: 0, toLayer: 3, layerTokensPerSecond: 300}];
		expect(computeTokenBound(engines, 4)).toBeCloseTo(0, 6);
	});
});
