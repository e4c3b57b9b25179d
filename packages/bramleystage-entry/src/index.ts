/** The entry process that takes callers' requests. */
export {buildErrorBody, writeFailure} from './answers.js';
export {
	Audit,
	EntryMetrics,
	formatPipeline,
	type RequestRecord,
} from './audit.js';
export {computeKeyDigest, findCustomer} from './authentication.js';
export {type RunningEntry, startEntry} from './entry.js';
export {selectAnswerHeaders, selectRequestHeaders} from './headers.js';
export {
	type AnswerHead,
	buildAnswer,
	buildChunk,
	buildUsageChunk,
	type ChatMessages,
	formatChatPrompt,
	type ModelBody,
	parseModelBody,
	type Usage,
} from './model-body.js';
export {type ChooseStages, ModelDesk, type ModelRequest} from './model-desk.js';
export {
	type ModelRouteOptions,
	type RouteContext,
	runModelRoute,
} from './model-route.js';
export {Network, type NetworkEvent} from './network.js';
export {type AdmittedRequest, decideAdmission} from './model-admission.js';
export {
	createRouter,
	measureRequest,
	chooseModelStages,
} from './model-routing.js';
export {type RouteRequest, Router, type RouterOptions} from './routing.js';
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
