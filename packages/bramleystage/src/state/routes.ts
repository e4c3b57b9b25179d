/**
 * The routing configuration of a gateway: which requests go to which service,
 * which of them may be retried, and how long each may take. A configuration is
 * immutable; a newer one replaces it completely.
 */
import type {
	CustomerId,
	ModelName,
	RouteName,
	ServiceName,
} from '../protocol/ids.js';

/** Determines how a request may be retried when its outcome is unknown. */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** A service that gets a share of a route's requests. */
export type RouteTarget = {
	readonly service: ServiceName;
	/** Weight relative to the route's other targets, above 0. */
	readonly weight: number;
};

export type Route = {
	readonly name: RouteName;
	/** Lower-case host name without a port. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Longest time to the end of the answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Target time to a complete answer or, for streams, to the first event, in milliseconds. */
	readonly latencyTargetMs: number;
	/** Target for the longest pause between two events of a stream, in milliseconds. */
	readonly eventGapTargetMs: number;
	/** Priority of the requests; 0 is the highest. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Largest number of backend servers that one request is sent to. */
	readonly maxAttempts: number;
	/** Whether requests are accepted without a key. */
	readonly isPublic: boolean;
	/** Whether a broken stream may be resumed on another backend server. */
	readonly isResumable: boolean;
};

/** A kind of accelerator in a pipeline. */
export type AcceleratorKind = {
	/** Memory for layers and for the KV cache, in MB. */
	readonly megabytes: number;
	/** Multiplies the duration of a decode step. */
	readonly stepFactor: number;
	/** Multiplies the duration of prefill. */
	readonly prefillFactor: number;
};

/** Dimensions of a model that pipelines of engines serve. */
export type PipelineModel = {
	readonly model: ModelName;
	readonly layers: number;
	readonly layerMegabytes: number;
	/** Size of one token's KV cache over all layers, in bytes. */
	readonly kvTokenBytes: number;
	/** Requests that an engine runs concurrently as the first stage. */
	readonly slots: number;
	/** Duration of a decode step over all layers at `stepFactor` 1, in milliseconds. */
	readonly stepMs: number;
	/** Prompt tokens that prefill reads a millisecond at `prefillFactor` 1. */
	readonly prefillTokensPerMs: number;
	/** Tokens in one event of a stream. */
	readonly tokensPerEvent: number;
	/** Size of one token's activations between two stages, in bytes. */
	readonly activationBytes: number;
	/** Bandwidth between data centres, in Mbit/s. */
	readonly linkMbps: number;
	/** Time to load all layers, in milliseconds. */
	readonly loadMs: number;
	readonly kinds: ReadonlyMap<string, AcceleratorKind>;
};

export type GatewayService = {
	readonly name: ServiceName;
	/** Connections that one backend server accepts from all callers together. */
	readonly maxConnections: number;
	/** Present if the service is a model that pipelines serve. */
	readonly pipeline?: PipelineModel;
};

/** Customer that a key belongs to. */
export type KeyHolder = {
	readonly customer: CustomerId;
	/** Overrides the route's priority if present. */
	readonly priority?: number;
};

/** Bounds on the size of requests and on the time that callers take to send them. */
export type CallerBounds = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type RoutingConfiguration = {
	/** Increases with each new configuration. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<ServiceName, GatewayService>;
	readonly bounds: CallerBounds;
	/** Holder of each key; absent if requests need no key. */
	readonly keys?: ReadonlyMap<string, KeyHolder>;
};

/** Routes by host name, those with longer path prefixes first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Builds the index for `findRoute`. */
export function buildRouteIndex(routes: readonly Route[]): RouteIndex {
	const index = new Map<string, Route[]>();
	for (const route of routes) {
		const hostRoutes = index.get(route.host);
		if (hostRoutes) {
			hostRoutes.push(route);
		} else {
			index.set(route.host, [route]);
		}
	}

	for (const hostRoutes of index.values()) {
		hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	}

	return index;
}

/** Finds the route with the longest matching path prefix; the query is ignored. */
export function findRoute(
	index: RouteIndex,
	host: string,
	target: string,
): Route | undefined {
	const path = target.split('?', 1)[0] ?? target;
	const name = host.toLowerCase().replace(/:\d+$/v, '');
	return index.get(name)?.find((route) => path.startsWith(route.pathPrefix));
}

/** Picks a target at random in proportion to the weights; `drawRandom` returns numbers in [0, 1). */
export function pickRouteTarget(
	route: Route,
	drawRandom: () => number,
): ServiceName | undefined {
	let remaining =
		drawRandom() * route.targets.reduce((sum, {weight}) => sum + weight, 0);
	for (const {service, weight} of route.targets) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return route.targets.at(-1)?.service;
}
