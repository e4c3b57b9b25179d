/**
 * What a gateway needs of a platform, in the project's own terms. An adapter
 * implements these functions; it translates and decides nothing.
 */
import type {
	BackendChange,
	BackendId,
	DataCentreId,
	LayerRange,
	ModelName,
	PathStage,
	RequestId,
	RoutingConfiguration,
} from 'bramleystage';
import type {Result} from 'neverthrow';

/** Why a call of the platform's store gave nothing. */
export type StoreFailure = {
	readonly kind:
		/** The store said that it did nothing. */
		| 'refused'
		/** There was no whole answer; a write may have been done. */
		| 'lost'
		/** The records asked for are no longer kept. */
		| 'expired'
		/** The answer is not what the store's protocol says. */
		| 'malformed';
	readonly detail: string;
};

/** Where reading a stream of the store goes on. */
export type StoreOffset = number;

/** Records that could not be read, with the reason, for the log. */
export type SkippedRecord = {readonly key: string; readonly reason: string};

export type ConfigurationRead = {
	/** Newest configuration that was read, if there was one. */
	readonly configuration?: RoutingConfiguration;
	readonly next: StoreOffset;
	readonly skipped: readonly SkippedRecord[];
};

export type BackendsRead = {
	readonly changes: readonly BackendChange[];
	readonly next: StoreOffset;
	readonly skipped: readonly SkippedRecord[];
};

export type Membership = {
	/** Grows with each change of the group. */
	readonly generation: number;
};

export type StorePort = {
	/** Reads the newest configuration. */
	readonly loadConfiguration: () => Promise<
		Result<ConfigurationRead, StoreFailure>
	>;
	/** Waits up to a time, in milliseconds, for configurations from an offset on. */
	readonly awaitConfiguration: (
		from: StoreOffset,
		waitMs: number,
	) => Promise<Result<ConfigurationRead, StoreFailure>>;
	/** Reads the whole list of backend servers. */
	readonly loadBackends: () => Promise<Result<BackendsRead, StoreFailure>>;
	/** Reads the changes of the list from an offset on. */
	readonly readBackends: (
		from: StoreOffset,
	) => Promise<Result<BackendsRead, StoreFailure>>;
	/** Joins the gateways' group or stays in it. */
	readonly joinGroup: (
		self: string,
		generation: number,
	) => Promise<Result<Membership, StoreFailure>>;
	readonly leaveGroup: (self: string) => Promise<Result<void, StoreFailure>>;
	/** Addresses of the members of the gateways' group. */
	readonly listMembers: () => Promise<Result<readonly string[], StoreFailure>>;
};

/** What an engine says of itself. */
export type EngineReport = {
	/** Orders that it has accepted since its start. */
	readonly orderCount: number;
	/** Whether an order is in progress. */
	readonly isBusy: boolean;
	readonly layers?: LayerRange;
	readonly queued: number;
	readonly running: number;
	/** KV cache in use, and there is, in tokens times layers. */
	readonly cacheUsed: number;
	readonly cacheTotal: number;
	/** Over 1 if the engine is slow. */
	readonly slowness: number;
	/** Requests on paths through it whose next engine does not answer. */
	readonly stalled: ReadonlyArray<{
		readonly request: string;
		/** `host:port` of the engine that does not answer. */
		readonly address: string;
	}>;
	/** Unix time of its start, in milliseconds; 0 if it does not say. */
	readonly bornAt: number;
};

export type OrderOutcome =
	/** It began, or holds already. */
	| 'accepted'
	/** It does not fit the engine's state or order count. */
	| 'conflict'
	/** The request that it is about does not run there. */
	| 'unknownRequest'
	/** Another holder of a newer fence gave orders. */
	| 'fenced'
	/** Any other refusal. */
	| 'rejected';

/** No answer: the order may be carried out later. */
export type EngineFailure = {
	readonly kind: 'unreachable' | 'lost' | 'malformed';
	readonly detail: string;
};

export type EnginePort = {
	readonly readReport: (
		address: string,
		timeoutMs: number,
	) => Promise<Result<EngineReport, EngineFailure>>;
	/** Orders an engine to hold layers, if it has accepted just so many orders before. */
	readonly orderLayers: (
		address: string,
		order: {
			readonly layers: LayerRange;
			readonly expectedOrders: number;
			readonly fence: number;
			readonly timeoutMs: number;
		},
	) => Promise<Result<OrderOutcome, EngineFailure>>;
	/** Gives a running request another path with the same first stage. */
	readonly replacePath: (
		address: string,
		order: {
			readonly request: RequestId;
			readonly path: readonly PathStage[];
			readonly timeoutMs: number;
		},
	) => Promise<Result<OrderOutcome, EngineFailure>>;
};

/** What a caller's headers say, besides what is passed on as it is. */
export type CallFacts = {
	readonly request: RequestId;
	/** Time that the caller waits, in milliseconds. */
	readonly deadlineMs?: number;
	readonly key?: string;
	/** Present on model requests. */
	readonly model?: ModelName;
	readonly promptTokens: number;
	readonly maxAnswerTokens: number;
	/** Last event that the caller has of the stream. */
	readonly lastEvent?: string;
};

/** What a gateway says to the backend server of one attempt. */
export type AttemptFacts = {
	readonly remainingMs: number;
	readonly backend?: BackendId;
	readonly customer?: string;
	readonly priority?: number;
	readonly path?: readonly PathStage[];
	/** Last event that the caller has; the stream goes on after it. */
	readonly lastEvent?: string;
};

/** What the head of a backend server's answer says. */
export type AnswerFacts = {
	/** Request that the answer belongs to, as the server echoes it. */
	readonly request?: string;
	/** Whether the server vouches for the answer. */
	readonly isStamped: boolean;
	/** Whether the request has not run and will not. */
	readonly isNotRun: boolean;
	/** `host:port` of the engine of the path that is at fault. */
	readonly faultyAddress?: string;
	/** Running, waiting, slots. */
	readonly load?: {
		readonly running: number;
		readonly waiting: number;
		readonly slots: number;
	};
};

export type Headers = ReadonlyArray<readonly [string, string]>;

export type HeaderPort = {
	/** Reads a caller's headers; nothing without a request id. */
	readonly readCall: (headers: Headers) => CallFacts | undefined;
	/** Headers of an attempt: the caller's, with what the gateway sets itself. */
	readonly buildAttempt: (headers: Headers, facts: AttemptFacts) => Headers;
	readonly readAnswer: (headers: Headers) => AnswerFacts;
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
	/** `host:port` of the ready check. */
	readonly readyListen: string;
	/** `host:port` for other gateways. */
	readonly peerListen: string;
	/** `host:port` of some gateways, this one perhaps among them; may be out of date. */
	readonly seeds: readonly string[];
	/** `host:port` of the metrics; not served if left out. */
	readonly operatorListen?: string;
	/** Whether the whole deployment starts for the first time. */
	readonly isFirstStart: boolean;
	/** Time between a stop signal and the kill. */
	readonly graceMs: number;
	/** How often backend servers renew their entries. */
	readonly heartbeatMs: number;
	/** Time for which the store keeps a silent member of the group. */
	readonly memberMs: number;
	readonly retryRatio: number;
	/** Repeats in a window besides the ratio, over all gateways. */
	readonly retrySlack: number;
	readonly retryWindowMs: number;
	/** How long an engine waits for a dead one before it cuts the work off. */
	readonly stallMs: number;
};

export {type Backend} from 'bramleystage';
