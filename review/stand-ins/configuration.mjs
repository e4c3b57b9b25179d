/* eslint-disable camelcase -- Names of the platform are kept. */
/** The operator's configuration in the cases: routes and services, with the bounds of kale-gise. */
import {host, key} from './caller.mjs';

export const buildRoute = (name, service, overrides) => ({
	name,
	host,
	path_prefix: `/${name}/`,
	priority: 2,
	service,
	no_auth: false,
	session_affinity: false,
	resumable: false,
	target_gap_ms: 200,
	...overrides,
});

/** Builds a configuration with the routes and services of a case. */
export const buildConfiguration = (routes, services) => ({
	version: 1,
	routes,
	services,
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3000,
		idle_timeout_ms: 5000,
	},
	tenants: [{name: 'castle', api_keys: [key], priority: 1}],
});

/** A ticket office: bookings, which run once at most, and look-ups. */
export const plainConfiguration = ({timeoutMs, targetMs}) =>
	buildConfiguration(
		[
			buildRoute('book', 'office', {
				kind: 'non_idempotent',
				max_attempts: 1,
				timeout_ms: timeoutMs,
				target_latency_ms: targetMs,
			}),
			buildRoute('look', 'office', {
				kind: 'idempotent',
				max_attempts: 2,
				timeout_ms: timeoutMs,
				target_latency_ms: targetMs,
			}),
		],
		[{name: 'office', health_path: '/health', max_connections: 96}],
	);

/** Builds the entry of a plain server in the store's list. */
export const buildPlainEntry = (address, born) => ({
	service: 'office',
	address,
	zone: 'izmir-a',
	version: 'v1',
	slots: 6,
	state: 'ready',
	cold_remaining_ms: 0,
	born,
});
