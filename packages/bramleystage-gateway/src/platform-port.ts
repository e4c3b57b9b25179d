/**
 * Interface between a gateway and its platform (ports and adapters). An adapter
 * implements these functions; it only translates and makes no decisions.
 */
import type {
	BackendChange,
	BackendId,
	DataCentreId,
	LayerRange,
	ModelName,
	PathStage,
	PromptPartId,
	RequestId,
	RoutingConfiguration,
} from 'bramleystage';
import type {Result} from 'neverthrow';

/** Why a call of the platform's store failed. */
export type StoreFailure = {
	readonly kind:
		/** The store refused the call and did nothing. */
		| 'refused'
		/** There was no complete answer; a write may have taken effect. */
		| 'lost'
		/** The requested records are no longer retained. */
		| 'expired'
		/** The answer violates the store's protocol. */
		| 'malformed';
	readonly detail: string;
};

/** Offset at which reading a stream of the store continues. */
export type StoreOffset = number;

/** A record that could not be read, with the reason for the log. */
export type SkippedRecord = {readonly key: string; readonly reason: string};

/**
 * How often the store was restored from an older copy. What it acknowledged
 * shortly before may be gone, and offsets of one era mean nothing in another.
 */
export type StoreEra = number;

export type ConfigurationRead = {
	readonly era: StoreEra;
	/** Newest configuration that was read, if there was one. */
	readonly configuration?: RoutingConfiguration;
	readonly next: StoreOffset;
	/** Whether the log went on behind the records that were read. */
	readonly hasMore?: boolean;
	readonly skipped: readonly SkippedRecord[];
};

export type BackendsRead = {
	readonly era: StoreEra;
	readonly changes: readonly BackendChange[];
	readonly next: StoreOffset;
	/** Whether the log went on behind the records that were read. */
	readonly hasMore?: boolean;
	readonly skipped: readonly SkippedRecord[];
};

export type Membership = {
	readonly era: StoreEra;
	/** Increases with each change of the group within one era. */
	readonly generation: number;
};

export type StorePort = {
	/** Reads the newest configuration; `onArrival` is called when bytes of it arrive. */
	readonly loadConfiguration: (
		onArrival?: () => void,
	) => Promise<Result<ConfigurationRead, StoreFailure>>;
	/**
	 * Waits up to `waitMs` milliseconds for configurations from an offset on (long
	 * poll); `onArrival` is called when bytes of the answer arrive.
	 */
	readonly awaitConfiguration: (
		from: StoreOffset,
		waitMs: number,
		onArrival?: () => void,
	) => Promise<Result<ConfigurationRead, StoreFailure>>;
	/** Reads the complete list of backend servers. */
	readonly loadBackends: () => Promise<Result<BackendsRead, StoreFailure>>;
	/** Reads the changes of the list from an offset on. */
	readonly readBackends: (
		from: StoreOffset,
	) => Promise<Result<BackendsRead, StoreFailure>>;
	/** Joins the gateways' group or renews the membership. */
	readonly joinGroup: (
		self: string,
		generation: number,
	) => Promise<Result<Membership, StoreFailure>>;
	readonly leaveGroup: (self: string) => Promise<Result<void, StoreFailure>>;
	/** Reads the addresses of the members of the gateways' group. */
	readonly listMembers: () => Promise<Result<readonly string[], StoreFailure>>;
	/** Reads what a gateway saved last for those that start later; undefined if nothing was. */
	readonly loadRecord: () => Promise<Result<string | undefined, StoreFailure>>;
	/** Saves a text in place of the last one. */
	readonly saveRecord: (text: string) => Promise<Result<void, StoreFailure>>;
};

/** An engine's report on itself. */
export type EngineReport = {
	/** Orders that it has accepted since its start. */
	readonly orderCount: number;
	/** Whether the engine is carrying out an order. */
	readonly isBusy: boolean;
	readonly layers?: LayerRange;
	readonly queued: number;
	readonly running: number;
	/** KV cache in use and in total, in tokens times layers. */
	readonly cacheUsed: number;
	readonly cacheTotal: number;
	/** Slowdown factor; above 1 if the engine is slow. */
	readonly slowness: number;
	/** Requests on paths through it whose next engine does not answer. */
	readonly stalled: ReadonlyArray<{
		readonly request: string;
		/** `host:port` of the engine that does not answer. */
		readonly address: string;
	}>;
	/** Unix time of its start, in milliseconds; 0 if not reported. */
	readonly bornAt: number;
	/** Whether the engine is about to stop. */
	readonly isLeaving: boolean;
	/** Requests a second that it takes from all gateways together, as sent; absent if it names no limit. */
	readonly namedLimit?: string;
};

export type OrderOutcome =
	/** The order has begun or has already taken effect. */
	| 'accepted'
	/** The order does not match the engine's state or order count. */
	| 'conflict'
	/** The request that the order concerns does not run there. */
	| 'unknownRequest'
	/** An order leader with a newer fencing token has sent orders. */
	| 'fenced'
	/** Any other refusal. */
	| 'rejected';

/** No valid answer; an order may still be carried out later. */
export type EngineFailure = {
	readonly kind:
		/** Nothing listens at the engine's address: it has ended. */
		| 'refused'
		/** No connection was made in time. */
		| 'unreachable'
		/** There was a connection, but no complete answer. */
		| 'lost'
		/** The answer violates the protocol. */
		| 'malformed';
	readonly detail: string;
};

export type EnginePort = {
	readonly readReport: (
		address: string,
		timeoutMs: number,
	) => Promise<Result<EngineReport, EngineFailure>>;
	/** Orders an engine to hold layers, if it has accepted exactly `expectedOrders` orders before. */
	readonly orderLayers: (
		address: string,
		order: {
			/** Engine that the order is for; any other one at the address refuses it. */
			readonly backend: BackendId;
			readonly layers: LayerRange;
			readonly expectedOrders: number;
			readonly fence: number;
			readonly timeoutMs: number;
		},
	) => Promise<Result<OrderOutcome, EngineFailure>>;
	/** Moves a running request onto another path with the same first stage. */
	readonly replacePath: (
		address: string,
		order: {
			/** Engine that the order is for; any other one at the address refuses it. */
			readonly backend: BackendId;
			readonly request: RequestId;
			readonly path: readonly PathStage[];
			readonly timeoutMs: number;
		},
	) => Promise<Result<OrderOutcome, EngineFailure>>;
};

/** Values of a caller's headers that the gateway reads; all other headers are forwarded unchanged. */
export type CallMetadata = {
	readonly request: RequestId;
	/** Time that the caller waits, in milliseconds. */
	readonly deadlineMs?: number;
	readonly key?: string;
	/** Present on model requests. */
	readonly model?: ModelName;
	readonly promptTokens: number;
	readonly maxAnswerTokens: number;
	/** Answer tokens that the caller expects; often far off. */
	readonly answerTokensHint?: number;
	/** Parts of the prompt, in order; requests share all but the last. Empty if the caller names none. */
	readonly promptParts: readonly PromptPartId[];
	/** Id of the last event of the stream that the caller received. */
	readonly lastEvent?: string;
};

/** Values that a gateway sends to the backend server in the headers of one attempt. */
export type AttemptMetadata = {
	readonly remainingMs: number;
	readonly backend?: BackendId;
	readonly customer?: string;
	readonly priority?: number;
	readonly path?: readonly PathStage[];
	/** Id of the last event that the caller received; the stream continues after it. */
	readonly lastEvent?: string;
};

/** Values of the headers of a backend server's answer. */
export type AnswerMetadata = {
	/** Request that the answer belongs to, as the server echoes it. */
	readonly request?: string;
	/** Whether the answer has the server's stamp. */
	readonly isStamped: boolean;
	/** Whether the body is a stream of events. */
	readonly isEventStream: boolean;
	/** Whether the request that the answer belongs to has not run and will not run there. */
	readonly isNotRun: boolean;
	/** `host:port` of the engine of the path that is at fault. */
	readonly faultyAddress?: string;
	/** Whether the server is about to stop. */
	readonly isLeaving: boolean;
	/** Time for which the server asks for no further requests, as sent; absent if it does not ask. */
	readonly retryAfter?: string;
	/** Requests a second that the server takes from all gateways together, as sent; absent if it names no limit. */
	readonly namedLimit?: string;
	/** Running and waiting requests, and slots. */
	readonly load?: {
		readonly running: number;
		readonly waiting: number;
		readonly slots: number;
	};
};

export type Headers = ReadonlyArray<readonly [string, string]>;

export type HeaderPort = {
	/** Reads a caller's headers; undefined if there is no request id. */
	readonly readCallHeaders: (headers: Headers) => CallMetadata | undefined;
	/** Builds the headers of an attempt: the caller's, with those that the gateway sets. */
	readonly buildAttemptHeaders: (
		headers: Headers,
		metadata: AttemptMetadata,
	) => Headers;
	readonly readAnswerHeaders: (headers: Headers) => AnswerMetadata;
};

export type PlatformPort = {
	readonly store: StorePort;
	readonly engines: EnginePort;
	readonly headers: HeaderPort;
};

/** Settings of a gateway. Times are in milliseconds. */
export type GatewaySettings = {
	readonly host: string;
	readonly dataCentre: DataCentreId;
	/** `host:port` for callers. */
	readonly listen: string;
	/** `host:port` of the readiness check. */
	readonly readyListen: string;
	/** `host:port` for other gateways. */
	readonly peerListen: string;
	/** `host:port` of some gateways, possibly including this one; may be out of date. */
	readonly seeds: readonly string[];
	/** `host:port` of the metrics; not served if absent. */
	readonly operatorListen?: string;
	/** Whether the complete deployment starts for the first time. */
	readonly isFirstStart: boolean;
	/** Grace period between the stop signal and the kill. */
	readonly graceMs: number;
	/** How often backend servers renew their entries. */
	readonly heartbeatMs: number;
	/** Time after which the store drops a silent member of the group. */
	readonly memberMs: number;
	readonly retryRatio: number;
	/** Retries per window in addition to the ratio, over all gateways. */
	readonly retrySlack: number;
	readonly retryWindowMs: number;
	/** Time for which an engine waits for a dead one before it aborts the request. */
	readonly stallMs: number;
	/** Hosts whose loss at the same time the deployment is to bear. */
	readonly toleratedLosses: number;
};

export {type Backend} from 'bramleystage';
