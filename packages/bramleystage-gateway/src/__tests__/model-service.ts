/** A service of a small model, for tests of the gateway. */
import {toModelName, toServiceName} from 'bramleystage';

export const modelService = {
	name: toServiceName('models'),
	maxConnections: 100,
	pipeline: {
		model: toModelName('guide'),
		layers: 8,
		layerMegabytes: 100,
		kvTokenBytes: 8000,
		slots: 100,
		stepMs: 1,
		prefillTokensPerMs: 100,
		tokensPerEvent: 2,
		activationBytes: 1000,
		linkMbps: 1000,
		loadMs: 1000,
		kinds: new Map([
			['big', {megabytes: 9000, stepFactor: 1, prefillFactor: 1}],
		]),
	},
};
