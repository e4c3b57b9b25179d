import {toServiceName} from 'bramleystage';
import {Registry} from 'prom-client';
import {expect, test} from 'vitest';
import {registerRetryGauges} from '../retry-gauges.js';

test('gauges show the share of the retry budget, what it rests on and what is used', async () => {
	const registry = new Registry();
	registerRetryGauges({
		registry,
		describeShare: () => ({share: 0.2, gateways: 5, lack: 'nothing'}),
		describeRepeats: () => [
			{service: toServiceName('desk'), repeats: 7, allowed: 12.5},
		],
		readClock: () => 0,
	});
	const text = await registry.metrics();
	expect(text).toContain(
		'bramleystage_gateway_retry_share{lack="nothing"} 0.2',
	);
	expect(text).toContain('bramleystage_gateway_retry_gateways 5');
	expect(text).toContain(
		'bramleystage_gateway_retry_repeats{service="desk"} 7',
	);
	expect(text).toContain(
		'bramleystage_gateway_retry_allowed{service="desk"} 12.5',
	);
});
