import {createLogger} from 'bramleystage';
import {expect, test} from 'vitest';
import {deploymentNames, deployments} from '../deployments.js';
import {runSamples} from '../samples.js';
import {startSite} from '../site.js';

test.each(deploymentNames)(
	'every sample of %s gets the expected response',
	async (name) => {
		const site = await startSite(deployments[name], createLogger('error', {}));
		for (const entry of site.entries) {
			const results = await runSamples(site.deployment, entry);
			expect(results.map((result) => result.isRight)).toEqual(
				results.map(() => true),
			);
			expect(results[0]?.pipeline.split('>').length).toBeGreaterThanOrEqual(3);
		}

		await site.stop();
	},
);
