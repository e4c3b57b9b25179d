import {expect, test} from 'vitest';
import {toRouteName, toServiceName} from '../../protocol/ids.js';
import {
	buildRouteIndex,
	findRoute,
	pickRouteTarget,
	type Route,
} from '../routes.js';

const createRoute = (name: string, pathPrefix: string): Route => ({
	name: toRouteName(name),
	host: 'one.example',
	pathPrefix,
	kind: 'idempotent',
	timeoutMs: 1000,
	latencyTargetMs: 100,
	eventGapTargetMs: 100,
	priority: 1,
	targets: [
		{service: toServiceName('old'), weight: 90},
		{service: toServiceName('new'), weight: 10},
	],
	maxAttempts: 2,
	isPublic: false,
	isResumable: false,
});

const index = buildRouteIndex([
	createRoute('short', '/a/'),
	createRoute('long', '/a/b/'),
]);

test('the longest prefix wins, regardless of the case and the port of the host', () => {
	expect(findRoute(index, 'ONE.example:80', '/a/b/c')?.name).toBe('long');
	expect(findRoute(index, 'one.example', '/a/bc')?.name).toBe('short');
});

test('the query is not matched as part of the path', () => {
	expect(findRoute(index, 'one.example', '/x?/a/b/')).toBeUndefined();
	expect(findRoute(index, 'one.example', '/a/?q=1')?.name).toBe('short');
});

test('another host has no route', () => {
	expect(findRoute(index, 'two.example', '/a/')).toBeUndefined();
});

test('targets are picked in proportion to their weights', () => {
	const route = createRoute('split', '/');
	expect(pickRouteTarget(route, () => 0.899)).toBe('old');
	expect(pickRouteTarget(route, () => 0.901)).toBe('new');
	expect(pickRouteTarget(route, () => 0.999_999)).toBe('new');
});
