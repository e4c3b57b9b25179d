/** What is recorded of the way in which a version came into force. */
import type {Logger, RoutingConfiguration} from 'bramleystage';
import {Registry} from 'prom-client';
import {expect, test} from 'vitest';
import {ConfigurationRecord} from '../configuration-record.js';
import {silentLogger} from './slow-peer.js';

const build = (version: number) =>
	({version, routes: []}) as unknown as RoutingConfiguration;

// Guards against the delay of one version that is taken for that of another.
test('the delay counts from the first sign of the version itself', async () => {
	const lines: Array<Parameters<Logger['info']>[1]> = [];
	const registry = new Registry();
	const record = new ConfigurationRecord(registry, {
		...silentLogger,
		info(_event, fields) {
			lines.push(fields);
		},
	});
	record.recordSign(5, 100);
	record.recordSign(5, 150);
	record.recordSign(7, 400);
	record.recordFailure();
	record.recordApplied(
		build(5),
		{source: 'poll', previous: 3, readAt: 50},
		300 + 200,
	);
	record.recordApplied(
		build(7),
		{source: 'peer', previous: 5, readAt: Number.NEGATIVE_INFINITY},
		1000,
	);
	expect(lines).toMatchObject([
		{
			version: 5,
			source: 'poll',
			delay_ms: 400,
			known_age_ms: 450,
			failed_calls: 1,
		},
		{version: 7, source: 'peer', delay_ms: 600, failed_calls: 0},
	]);
	expect(await registry.metrics()).toMatch(
		/^bramleystage_gateway_configuration_version 7$/mv,
	);
});
