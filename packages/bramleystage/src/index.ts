/** The bramleystage library: state, coordination, protocol and transport. */
export {
	type AllowRetry,
	createDispatch,
	decideDispatch,
	type DispatchCommand,
	type DispatchDecision,
	type DispatchEvent,
	type DispatchState,
	type Target,
} from './coordination/call-dispatch.js';
export {
	type CallCommand,
	type CallDecision,
	type CallEvent,
	type CallRecord,
	decideCall,
	type LedgerContext,
} from './coordination/call-ledger.js';
export {
	type ModelRunCommand,
	type ModelRunContext,
	type ModelRunDecision,
	type ModelRunEvent,
	type Recovery,
} from './coordination/model-run-protocol.js';
export {decideModelRun} from './coordination/model-run.js';
export {
	choosePipeline,
	type LinkCost,
	listCandidates,
	type PipelineCosts,
	type PipelineRequest,
	type StageCandidate,
	type StageCost,
} from './coordination/pipeline.js';
export {
	createRetryBudget,
	decideRetry,
	recordRequest,
	type RetryBudget,
} from './coordination/retry-budget.js';
export {
	type StageCommand,
	type StageContext,
	type StageDecision,
	type StageEvent,
	type StepInput,
	type StepOutput,
} from './coordination/stage-protocol.js';
export {
	type ChooseForGap,
	type Gap,
	replaceStage,
} from './coordination/stage-replacement.js';
export {bytesPerValue} from './coordination/stage-step.js';
export {decideStage} from './coordination/stage.js';
export {
	type Decide,
	type Decision,
	type Milliseconds,
} from './protocol/decision.js';
export {
	type Attempt,
	attemptSchema,
	type CustomerId,
	customerIdSchema,
	type DataCentreId,
	dataCentreIdSchema,
	type EditId,
	editIdSchema,
	type FencingNumber,
	fencingNumberSchema,
	type HostId,
	hostIdSchema,
	type Incarnation,
	incarnationSchema,
	type LogOffset,
	logOffsetSchema,
	type ModelName,
	modelNameSchema,
	type Position,
	positionSchema,
	type RequestId,
	requestIdSchema,
	type ServiceName,
	serviceNameSchema,
	type SessionNumber,
	sessionNumberSchema,
	toAttempt,
	toCustomerId,
	toDataCentreId,
	toEditId,
	toFencingNumber,
	toHostId,
	toIncarnation,
	toLogOffset,
	toModelName,
	toPosition,
	toRequestId,
	toServiceName,
	toSessionNumber,
} from './protocol/ids.js';
export {
	checkInvariant,
	InvariantError,
	invariants,
} from './protocol/invariant.js';
export {
	acknowledgeSchema,
	type Activation,
	activationSchema,
	type Call,
	type CallAnswer,
	callAnswerSchema,
	callRunningSchema,
	callSchema,
	type Cancel,
	type Cancelled,
	cancelledSchema,
	cancelSchema,
	type Failed,
	failedSchema,
	type Heartbeat,
	heartbeatSchema,
	type Hello,
	helloSchema,
	type LayersOffer,
	type LoadReport,
	loadReportSchema,
	type Message,
	type MessageOf,
	messageSchema,
	type Offer,
	offerSchema,
	protocolVersion,
	refusalSchema,
	type Role,
	roleSchema,
	type Stage,
	type StageOpen,
	type StageOpened,
	stageOpenedSchema,
	stageOpenSchema,
	type StageResume,
	stageResumeSchema,
	type StageRun,
	stageRunSchema,
	stageSchema,
	type Token,
	tokenSchema,
	type Welcome,
	welcomeSchema,
} from './protocol/messages.js';
export {
	createFailure,
	type Failure,
	type Outcome,
	outcomeSchema,
	type ResultCodeRow,
	resultCodes,
	type ResultName,
	resultNameSchema,
} from './protocol/result-codes.js';
export {
	agentSettings,
	type AgentSettings,
	entrySettings,
	type EntrySettings,
	formatFlag,
	formatVariable,
	parseSettings,
	type SettingDefinition,
	type SettingDefinitions,
	type SettingValues,
} from './protocol/settings.js';
export {
	cellSchemas,
	type CustomerCells,
	customerCellsSchema,
	type EditRecord,
	editRecordSchema,
	type ModelCells,
	modelCellsSchema,
	nameSchemas,
	type RowChange,
	rowChangeSchema,
	type RowKey,
	rowKeySchema,
	type RowKind,
	rowKindSchema,
	type ServiceCells,
	serviceCellsSchema,
} from './protocol/table-schema.js';
export {
	appendItem,
	type AppendList,
	createAppendList,
	listItems,
} from './state/append-list.js';
export {
	applyHostList,
	type ConnectedHost,
	createHosts,
	type HostsSnapshot,
	listAvailableHosts,
	type ListedHost,
	removeConnectedHost,
	updateConnectedHost,
} from './state/hosts.js';
export {
	createModelRun,
	findNextPosition,
	type ModelRunState,
} from './state/model-run-state.js';
export {
	type ClosedStage,
	type OpenStage,
	type RunningStep,
	type StageInput,
	type StageRecord,
} from './state/stage-record.js';
export {
	createTable,
	type EditResult,
	foldRecord,
	parseRowKey,
	type TableRow,
	type TableSnapshot,
	type TableView,
} from './state/table.js';
export {
	type Address,
	formatAddress,
	parseAddress,
} from './transport/address.js';
export {encodeFrame, FrameDecoder, maxFrameBytes} from './transport/framing.js';
export {
	type HttpAnswer,
	type HttpError,
	type HttpRequest,
	listHeaders,
	type OpenedHttp,
	openHttp,
	sendHttp,
} from './transport/http-client.js';
export {
	defaultHttpBounds,
	type HttpBounds,
	type HttpHandler,
	type HttpListener,
	listenHttp,
	parseJson,
	readBody,
	writeJson,
} from './transport/http-server.js';
export {
	type CleanUp,
	LifeCycle,
	mergeCleanUps,
} from './transport/life-cycle.js';
export {
	createLogger,
	formatPairs,
	formatValue,
	type LogFields,
	type Logger,
	type LogLevel,
	logLevels,
} from './transport/logger.js';
export {
	listenForOperators,
	type OperatorPort,
} from './transport/operator-server.js';
export {
	type LogEvent,
	type LogRecords,
	PlatformClient,
	type PlatformError,
} from './transport/platform-client.js';
export {
	type PoolEvent,
	SessionPool,
	waitFor,
} from './transport/session-pool.js';
export {
	type CheckHello,
	checkHello,
	defaultSessionTiming,
	type DescribeSelf,
	listenForSessions,
	openSession,
	Session,
	type SessionListener,
	type SessionPeer,
	type SessionTiming,
	startServer,
} from './transport/session.js';
