/** The entry process: accepts callers' requests, dispatches them to agents. */
export {AgentNetwork, type AgentNetworkEvent} from './agent-network.js';
export {
	Audit,
	EntryMetrics,
	formatPipeline,
	type RequestRecord,
} from './audit.js';
export {computeKeyDigest, findCustomer} from './authentication.js';
export {registerResponseClose, writeFailure} from './caller-response.js';
export {CancelOutbox} from './cancel-outbox.js';
export {
	EntryLimits,
	type EntryLimitsOptions,
	findLimit,
	type LimitDemand,
	type PermitSource,
	type ReleasePermits,
} from './entry-limits.js';
export {
	EntryPeers,
	type EntryPeersOptions,
	type PeerMessage,
} from './entry-peers.js';
export {
	type EntryTable,
	type EntryTableOptions,
	startTable,
} from './entry-table.js';
export {type RunningEntry, startEntry} from './entry.js';
export {selectRequestHeaders, selectResponseHeaders} from './headers.js';
export {chooseAgentByKey} from './key-affinity.js';
export {type AdmittedRequest, decideAdmission} from './model-admission.js';
export {
	buildChunk,
	buildCompletion,
	buildUsageChunk,
	type ChatMessages,
	type ChunkContent,
	type CompletionMetadata,
	formatChatPrompt,
	formatCompletionId,
	type ModelBody,
	parseModelBody,
	type Usage,
} from './model-body.js';
export {
	type ChooseStages,
	type LostStage,
	type ModelRequest,
	type ReplaceStage,
} from './model-request.js';
export {
	type ModelRouteOptions,
	type RequestContext,
	runModelRoute,
} from './model-route.js';
export {
	chooseModelStages,
	createRouter,
	estimateRequestShape,
	replaceModelStage,
	type StageChoiceInput,
} from './model-routing.js';
export {ModelRunManager} from './model-run-manager.js';
export {rejectMessage} from './rejection.js';
export {
	createRequestHandler,
	type RequestHandlerOptions,
} from './request-handler.js';
export {
	checkRequestHead,
	type RequestHeadCheck,
	type RequestHeadContext,
} from './request-head.js';
export {parseTimeout, timeoutHeader} from './request-timeout.js';
export {checkRoute} from './route-check.js';
export {Router, type RouteRequest, type RouterOptions} from './routing.js';
export {
	type ChooseTarget,
	ServiceCallManager,
	type ServiceRequest,
} from './service-call-manager.js';
export {
	isIdempotent,
	parseServicePath,
	runServiceRoute,
	type ServiceRouteOptions,
} from './service-route.js';
