export {type RunningGateway, startGateway} from './gateway.js';
export {Fleet} from './fleet.js';
export {
	type PeerHandlers,
	servePeerSocket,
	startPeerServer,
} from './peer-server.js';
export type {
	AnswerMetadata,
	AttemptMetadata,
	BackendsRead,
	CallMetadata,
	ConfigurationRead,
	EngineFailure,
	EnginePort,
	EngineReport,
	GatewaySettings,
	HeaderPort,
	Headers,
	Membership,
	OrderOutcome,
	PlatformPort,
	SkippedRecord,
	StoreEra,
	StoreFailure,
	StoreOffset,
	StorePort,
} from './platform-port.js';
export {followSharedState, type SharedState} from './shared-state.js';
export {RequestArrivals} from './request-arrivals.js';
export {RetryBudget} from './retry-budget.js';
