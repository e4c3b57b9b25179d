/** The entry process that takes callers' requests. */
export {registerCallerGone, writeFailure} from './answers.js';
export {type Arrival, type ArrivalContext, checkArrival} from './arrival.js';
export {
	Audit,
	EntryMetrics,
	formatPipeline,
	type RequestRecord,
} from './audit.js';
export {computeKeyDigest, findCustomer} from './authentication.js';
export {type CallerPortOptions, createCallerHandler} from './caller-port.js';
export {CancelOutbox} from './cancel-outbox.js';
export {
	type AcquirePermits,
	EntryLimits,
	type EntryLimitsOptions,
	findLimit,
	type LimitedWork,
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
export {selectAnswerHeaders, selectRequestHeaders} from './headers.js';
export {chooseHome} from './home-choice.js';
export {type AdmittedRequest, decideAdmission} from './model-admission.js';
export {
	type AnswerHead,
	buildAnswer,
	buildChunk,
	buildUsageChunk,
	type ChatMessages,
	type ChunkPart,
	formatAnswerId,
	formatChatPrompt,
	type ModelBody,
	parseModelBody,
	type Usage,
} from './model-body.js';
export {ModelDesk} from './model-desk.js';
export {
	type ChooseStages,
	type LostStage,
	type ModelRequest,
	type ReplaceStage,
} from './model-request.js';
export {
	type ModelRouteOptions,
	type RouteContext,
	runModelRoute,
} from './model-route.js';
export {
	chooseModelStages,
	createRouter,
	measureRequest,
	type ModelChoice,
	replaceModelStage,
} from './model-routing.js';
export {Network, type NetworkEvent} from './network.js';
export {rejectMessage} from './rejection.js';
export {parseTimeout, timeoutHeader} from './request-timeout.js';
export {checkRoute} from './route-check.js';
export {Router, type RouteRequest, type RouterOptions} from './routing.js';
export {
	type ChooseTarget,
	ServiceDesk,
	type ServiceRequest,
} from './service-desk.js';
export {
	isIdempotent,
	parseServicePath,
	runServiceRoute,
	type ServiceRouteOptions,
} from './service-route.js';
