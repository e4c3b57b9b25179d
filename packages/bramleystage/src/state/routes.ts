/**
 * The routing configuration of a gateway: which requests go to which service,
 * what may be repeated, and how long each may take. A snapshot is replaced as a
 * whole and never changed.
 */
import type {
	CustomerId,
	ModelName,
	RouteName,
	ServiceName,
} from '../protocol/ids.js';

/** What may be done with a request whose outcome is not known. */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** A service that a route sends a share of its requests to. */
export type RouteTarget = {
	readonly service: ServiceName;
	/** Share among the route's targets, above 0. */
	readonly weight: number;
};

export type Route = {
	readonly name: RouteName;
	/** Lower-case host name without a port. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Longest time before the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time to a complete answer, or to the first event, that users aim at, in milliseconds. */
	readonly targetMs: number;
	/** Longest pause between events that is on time, in milliseconds. */
	readonly gapTargetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly targets: readonly RouteTarget[];
	/** Most backend servers that one request may be sent to. */
	readonly maxAttempts: number;
	/** Whether requests need no key. */
	readonly isPublic: boolean;
	/** Whether a stream may be taken up at another backend server. */
	readonly isResumable: boolean;
};

/** A kind of accelerator in a pipeline. */
export type AcceleratorKind = {
	/** Memory for layers and for the KV cache, in MB. */
	readonly megabytes: number;
	/** Factor on the time of a decode step. */
	readonly stepFactor: number;
	/** Factor on the time of prefill. */
	readonly prefillFactor: number;
};

/** Dimensions of a model that is served by pipelines of engines. */
export type PipelineModel = {
	readonly model: ModelName;
	readonly layers: number;
	readonly layerMegabytes: number;
	/** KV cache of one token over all layers, in bytes. */
	readonly kvTokenBytes: number;
	/** Requests that an engine runs at once as the first stage. */
	readonly slots: number;
	/** Time of a decode step over all layers at factor 1, in milliseconds. */
	readonly stepMs: number;
	/** Prompt tokens read at factor 1, a millisecond. */
	readonly prefillTokensPerMs: number;
	/** Tokens that an event of a stream holds. */
	readonly tokensPerEvent: number;
	/** Bytes of one token's activations between two stages. */
	readonly activationBytes: number;
	/** Bandwidth between data centres, in Mbit/s. */
	readonly pipeMbps: number;
	/** Time to load all layers, in milliseconds. */
	readonly loadMs: number;
	readonly kinds: ReadonlyMap<string, AcceleratorKind>;
};

export type GatewayService = {
	readonly name: ServiceName;
	/** Connections that one backend server takes from all callers. */
	readonly maxConnections: number;
	/** Present if the service is a model that pipelines serve. */
	readonly pipeline?: PipelineModel;
};

/** Who holds a key. */
export type KeyHolder = {
	readonly customer: CustomerId;
	/** Goes before the route's priority, if there is one. */
	readonly priority?: number;
};

/** What a caller may send, and how long it may take. */
export type CallerBounds = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type RoutingConfiguration = {
	/** Newer configurations have higher numbers. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<ServiceName, GatewayService>;
	readonly bounds: CallerBounds;
	/** Holder of each key; left out if requests need no key. */
	readonly keys?: ReadonlyMap<string, KeyHolder>;
};

/** Routes by host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Builds the index that `findRoute` reads. */
export function buildRouteIndex(routes: readonly Route[]): RouteIndex {
	const index = new Map<string, Route[]>();
	for (const route of routes) {
		const sameHost = index.get(route.host);
		if (sameHost) {
			sameHost.push(route);
		} else {
			index.set(route.host, [route]);
		}
	}

	for (const sameHost of index.values()) {
		sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	}

	return index;
}

/** Finds the route with the longest prefix of the path; the query is no part of the path. */
export function findRoute(
	index: RouteIndex,
	host: string,
	target: string,
): Route | undefined {
	const path = target.split('?', 1)[0] ?? target;
	const name = host.toLowerCase().replace(/:\d+$/v, '');
	return index.get(name)?.find((route) => path.startsWith(route.pathPrefix));
}

/** Picks a target by weight, with a random number in [0, 1). */
export function pickRouteTarget(
	route: Route,
	drawRandom: () => number,
): ServiceName | undefined {
	let left =
		drawRandom() * route.targets.reduce((sum, {weight}) => sum + weight, 0);
	for (const {service, weight} of route.targets) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return route.targets.at(-1)?.service;
}
