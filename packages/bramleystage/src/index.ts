/** The bramleystage library: state, coordination, protocol and transport. */
export {
	AdmissionController,
	type AdmissionRequest,
	type AdmissionTargets,
	defaultAdmissionTargets,
} from './coordination/admission.js';
export {
	type AnswerLengths,
	type AnswerRequest,
	createAnswerLengths,
	computeAnswerTokens,
	recordAnswerLength,
} from './coordination/answer-length.js';
export {
	decideClaimAnswered,
	decideClaimed,
	decideClaimRefused,
	listEndCommands,
	listReleaseCommands,
} from './coordination/call-claiming.js';
export {
	cancelWaitMs,
	createDeadlineFailure,
	decideCallerGone,
	decideDeadline,
	decideTimer,
	isSameTarget,
	rejectCall,
	startWait,
} from './coordination/call-dispatch-end.js';
export {
	type AllowRetry,
	createDispatch,
	type DispatchCommand,
	type DispatchDecision,
	type DispatchEvent,
	type DispatchPolicy,
	type DispatchState,
	type DispatchTarget,
	toDispatchEvent,
} from './coordination/call-dispatch-state.js';
export {
	decideDispatch,
	reconnectWaitMs,
	tombstoneTrustMs,
} from './coordination/call-dispatch.js';
export {decideCall} from './coordination/call-ledger.js';
export {
	type CallCommand,
	type CallDecision,
	type CallEvent,
	type CallRecord,
	createCancelledMessage,
	createFailedMessage,
	createFailedRecord,
	createStatusMessage,
	isExpiredRecord,
	type CallLedgerContext,
	recordRetentionMs,
	toCallEvent,
	unseenCallDeadlineMs,
} from './coordination/call-record.js';
export {CallQueue, type QueuedCall} from './coordination/call-queue.js';
export {
	createWorkWindow,
	hasRoom,
	recordCallEnd,
	recordCallStart,
	recordDelay,
	type WorkWindow,
} from './coordination/work-window.js';
export {
	computeBeginningMs,
	type ReadingRound,
} from './coordination/reading-round.js';
export {
	buildCandidateGroups,
	type CandidateGroup,
	type DrawIndex,
	type FindUsableHost,
	listCandidates,
	type PipelineRequest,
	selectCandidates,
	type StageCandidate,
} from './coordination/stage-candidates.js';
export {
	type Claim,
	ClaimRegistry,
	type ClaimEnd,
	type ClaimRecord,
	claimRecordSchema,
	claimSchema,
	claimStream,
	type ClaimResult,
	decideClaim,
	formatClaimKey,
	isClaimRequired,
	isSameClaim,
	idempotencyKeyLifetimeMs,
	maxClaimedKeys,
} from './coordination/claims.js';
export {DemandMeter} from './coordination/demand-meter.js';
export {
	type EnginePlacement,
	type LayerOrder,
	type PlacementDemand,
} from './coordination/engine-placement.js';
export {
	FairQueue,
	type WeightedShare,
	type WorkItem,
} from './coordination/fair-queue.js';
export {
	createFence,
	decideFence,
	type FenceCommand,
	type FenceEvent,
	type FenceState,
	type FencedOrder,
} from './coordination/fence.js';
export {
	computeFleetLoad,
	type DemandSums,
	type DemandTotal,
	maxDemandAgeMs,
	SenderSums,
	type TimedTotal,
} from './coordination/fleet-demand.js';
export {
	createLease,
	decideLease,
	findHeldToken,
	foldLease,
	type LeaseCommand,
	type LeaseEvent,
	type LeaseGrant,
	type LeaseOptions,
	type LeaseRecord,
	leaseRecordSchema,
	type LeaseState,
} from './coordination/leases.js';
export {
	type ConfirmFacts,
	decideConfirm,
	removedIncarnationWaitMs,
	listRemovedIncarnations,
} from './coordination/limit-confirm.js';
export {
	type AcquireResult,
	LimitManager,
	type LimitManagerOptions,
	type Permit,
} from './coordination/limit-manager.js';
export {
	createLimitLedger,
	decidePermit,
	formatPermitHolder,
	type PermitHolder,
	type LimitLedger,
	measureCharged,
	measureHeld,
	type PermitDecision,
	type PermitRequest,
	ratePermitValidityMs,
	releaseIncarnation,
	releasePermit,
	releaseUnheld,
} from './coordination/limit-ledger.js';
export {
	computeLimitShare,
	computeUsableLimitShare,
	createLimitMembershipState,
	createLimitSnapshot,
	findConfirmedEpoch,
	foldLimitRecord,
	foldLimitRecords,
	type Limit,
	type LimitMember,
	type LimitMembershipState,
	listOwners,
	type LogRecord,
	maxLimitOwners,
	type MemberList,
} from './coordination/limit-members.js';
export {
	type DescribePermitUse,
	LimitMembership,
	type LimitMembershipOptions,
} from './coordination/limit-membership.js';
export {
	LimitOwner,
	type LimitOwnerOptions,
	type PermitResult,
} from './coordination/limit-owner.js';
export {
	createOpenStageCommand,
	decideNewLineage,
	decideNextAttempt,
	isResumable,
	listStageStartCommands,
	listStartCommands,
} from './coordination/model-run-opening.js';
export {
	type ModelRunCommand,
	type ModelRunContext,
	type ModelRunDecision,
	type ModelRunEvent,
	type RecoveryMode,
} from './coordination/model-run-protocol.js';
export {decideModelRun} from './coordination/model-run.js';
export {type PeerHost, selectAgentPeers} from './coordination/peers.js';
export {
	choosePipeline,
	createStages,
	findUncoveredLayers,
	formatLayers,
	type LayerSpan,
	type LinkCost,
	type Pipeline,
	type PipelineCosts,
	type PlannedStage,
	type StageCost,
} from './coordination/pipeline.js';
export {
	computeBlockTokens,
	listPrefixBlocks,
	listStageBlocks,
	type PrefixBlocks,
} from './coordination/prefix-blocks.js';
export {HolderIndex} from './coordination/prefix-holders.js';
export {PrefixLedger} from './coordination/prefix-ledger.js';
export {
	computeNetSaving,
	type HostProcess,
	PrefixSavings,
	type SavingTerms,
} from './coordination/prefix-savings.js';
export {PrefixTable} from './coordination/prefix-table.js';
export {RateMeter} from './coordination/rate-meter.js';
export {selectByRendezvous} from './coordination/rendezvous.js';
export {selectByScore} from './coordination/rendezvous-order.js';
export {
	computeBackoff,
	createRetryBudget,
	decideRetry,
	recordRequest,
	type RetryBudget,
} from './coordination/retry-budget.js';
export {
	computeStageWork,
	createRouteCosts,
	type EstimateCachedTokens,
	type EstimateLoad,
	type PrefixEstimates,
	type RequestShape,
	type RouteCostOptions,
} from './coordination/route-cost.js';
export {
	type RunningWork,
	type SchedulerOptions,
	WorkScheduler,
} from './coordination/scheduler.js';
export {
	isCurrentSession,
	type SessionFence,
	updateSessionFence,
} from './coordination/session-fence.js';
export {
	type CachedTokens,
	findCachedBefore,
	listCachedTokens,
} from './coordination/stage-cached.js';
export {
	createCloseCommand,
	createOpenedCommand,
	decideOpened,
	sendUnacknowledged,
} from './coordination/stage-open.js';
export {
	createStageEvent,
	type StageCommand,
	type StageContext,
	type StageDecision,
	type StageEvent,
	type StepInput,
	type StepOutput,
} from './coordination/stage-protocol.js';
export {
	type ChooseForUncoveredLayers,
	type UncoveredLayers,
	replaceStage,
} from './coordination/stage-replacement.js';
export {
	bytesPerRetainedValue,
	createStageFailed,
	decideInput,
	decideStepped,
	isLastStage,
} from './coordination/stage-step.js';
export {decideStage} from './coordination/stage.js';
export {estimatePromptTokens} from './coordination/prompt-tokens.js';
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
	type FencingToken,
	fencingTokenSchema,
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
	toFencingToken,
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
	type LimitKey,
	limitKeySchema,
	type LimitKind,
	limitKindSchema,
	type LimitRecord,
	limitRecordSchema,
	type LimitSnapshot,
	limitSnapshotSchema,
	type PermitAnswer,
	permitAnswerSchema,
	type PermitRequestMessage,
	permitRequestMessageSchema,
	type PermitHeld,
	permitHeldSchema,
	type PermitMessage,
	type PermitNumber,
	permitNumberSchema,
	type PermitRelease,
	permitReleaseSchema,
	toLimitKey,
	toPermitNumber,
} from './protocol/limits.js';
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
	maxPrefixBlocks,
	maxReportedChanges,
	type PrefixReport,
} from './protocol/prefix-messages.js';
export {createRandom, type Random} from './protocol/random.js';
export {
	buildErrorBody,
	createFailure,
	type Failure,
	type Outcome,
	outcomeSchema,
	type ResultCodeRow,
	resultCodes,
	isNotRunStatus,
	selectStatus,
	type ResultName,
	resultNameSchema,
} from './protocol/result-codes.js';
export {
	agentSettings,
	type AgentSettings,
	checkAgentSettings,
	type CheckCombination,
	entrySettings,
	type EntrySettings,
	formatDefault,
	formatFlag,
	formatVariable,
	parseSettings,
	type SettingDefinition,
	type SettingDefinitions,
	type SettingValues,
} from './protocol/settings.js';
export {
	columnNames,
	type TableColumn,
	tableColumns,
} from './protocol/table-columns.js';
export {
	type TablePart,
	tablePartSchema,
	type TableRecords,
	tableRecordsSchema,
	type TableReport,
	tableReportSchema,
	type TableRequest,
	tableRequestSchema,
} from './protocol/table-messages.js';
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
	type SnapshotPart,
	snapshotPartRows,
	snapshotPartSchema,
	type SnapshotRow,
	snapshotRowSchema,
} from './protocol/table-snapshot-schema.js';
export {
	appendItem,
	type AppendList,
	createAppendList,
	listItems,
} from './state/append-list.js';
export {type BucketChange, BucketMap} from './state/bucket-map.js';
export {
	createEditProgress,
	decideEdit,
	type EditCommand,
	type EditEvent,
	type EditProgress,
} from './state/edit-progress.js';
export {
	computeSlowStartShare,
	slowStartShare,
	type HostHistory,
	type HostHistories,
	listSessionAddresses,
	recordHeartbeat,
	recordSessionLost,
	slowStartMs,
} from './state/host-membership.js';
export {
	applyHeartbeat,
	applyHostList,
	applySessionLost,
	type ConnectedHost,
	createHosts,
	type HeartbeatContext,
	type HostsSnapshot,
	listAvailableHosts,
	type ListedHost,
	removeConnectedHost,
	updateConnectedHost,
} from './state/hosts.js';
export {
	computeFleetFactor,
	emptyServiceLoad,
	type FleetLoad,
	type PriorityRates,
	type ServiceLoad,
} from './state/fleet-load.js';
export {LoadTracker, type LoadEstimate} from './state/load-tracker.js';
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
	createTableFreshness,
	createTableReport,
	isTableStale,
	recordLogRead,
	recordPeerReport,
	removePeer,
	tableStaleAfterMs,
	type TableFreshness,
	type TablePeer,
} from './state/table-freshness.js';
export {
	type CsvRow,
	type CsvTable,
	formatCsv,
	listOrderedRows,
	parseCsv,
} from './state/table-csv.js';
export {
	type CellChange,
	compareCells,
	compareTables,
	createRowConflict,
	listLaggingProcesses,
	type ProcessOffset,
	type RowConflict,
	type TableDiff,
} from './state/table-diff.js';
export {foldHistory, type HistoryEntry} from './state/table-history.js';
export {
	addSnapshotPart,
	type CollectedSnapshotParts,
	computeTableDigest,
	createSnapshotParts,
	listSnapshotRows,
	restoreTable,
} from './state/table-snapshot.js';
export {
	formatTableError,
	type TableError,
	validateCells,
	validateRowKey,
} from './state/table-validation.js';
export {
	createTableView,
	parseRowKey,
	type RowCells,
	type TableView,
	type UpdatableTableView,
	updateTableView,
} from './state/table-view.js';
export {
	createTable,
	type EditResult,
	findRowVersion,
	foldRecord,
	type RefusalReason,
	type RefusedRow,
	duplicateWindowRecords,
	type TableRow,
	type TableSnapshot,
} from './state/table.js';
export {
	type Address,
	formatAddress,
	parseAddress,
} from './transport/address.js';
export {
	maxFramingBytes,
	registerAnswerGuard,
} from './transport/answer-guard.js';
export {
	decodeFrameBody,
	encodeFrame,
	encodeValueFrame,
	FrameSplitter,
	FrameDecoder,
	maxFrameBytes,
} from './transport/framing.js';
export {GrowingBuffer} from './transport/growing-buffer.js';
export {
	HeartbeatScheduler,
	type HeartbeatTiming,
	type SelfDescription,
} from './transport/heartbeat-scheduler.js';
export {
	type HttpResponse,
	type HttpError,
	type HttpRequest,
	isRefusedConnection,
	type OpenHttpResponse,
	openHttpResponse,
	sendHttpRequest,
} from './transport/http-client.js';
export {
	describeUnwritableHead,
	formatHeaderValue,
	type HeaderPairs,
	hopByHopHeaders,
	isWritableHeader,
	listHeaders,
	minFinalStatus,
	openHttpRequest,
	writeForwardedHead,
} from './transport/http-heads.js';
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
export {type ListenOptions, startServer} from './transport/listening.js';
export {
	type CleanUp,
	LifeCycle,
	mergeCleanUps,
} from './transport/life-cycle.js';
export {
	createLogger,
	type Logger,
	type LogLevel,
	logLevels,
} from './transport/logger.js';
export {
	listenForOperators,
	type OperatorServerOptions,
} from './transport/operator-server.js';
export {
	type LogStreamEvent,
	type LogRecords,
	maxRecordsPerRead,
	PlatformClient,
	type PlatformError,
} from './transport/platform-client.js';
export {
	type CheckHello,
	checkHello,
	openSession,
	readFirstMessage,
} from './transport/session-handshake.js';
export {
	listenForSessions,
	type SessionListener,
} from './transport/session-listener.js';
export {type SessionPoolEvent, SessionPool} from './transport/session-pool.js';
export {waitFor} from './transport/wait-for.js';
export {
	defaultSessionTiming,
	type DescribeSelf,
	Session,
	type SessionOptions,
	type SessionPeer,
	type SessionTiming,
} from './transport/session.js';
export {
	appendSnapshot,
	type NewestSnapshot,
	readNewestSnapshot,
	tableSnapshotStream,
} from './transport/table-snapshot-stream.js';
export {
	TableFollower,
	type TableFollowerOptions,
	type TableSummary,
} from './transport/table-follower.js';
export {
	TableLogReader,
	type TableLogReaderOptions,
	tableStream,
} from './transport/table-log-reader.js';
export {
	publishEdit,
	type PublishEditOptions,
} from './transport/table-publisher.js';
export {RecentTableRecords} from './transport/recent-table-records.js';
export {
	type SnapshotTiming,
	TableSnapshotWriter,
	type TableSnapshotWriterOptions,
} from './transport/table-snapshot-writer.js';
export {type TrafficCount, TrafficMeter} from './transport/traffic-meter.js';
export {registerTrafficCounters} from './transport/traffic-metrics.js';
export {
	type AttemptArrivals,
	listRepeatTimes,
} from './coordination/attempt-arrivals.js';
export {
	type AttemptLimits,
	type AttemptHistory,
	type AttemptOutcome,
	computeResumeDelayMs,
	decideAfterAttempt,
	type AttemptDecision,
} from './coordination/attempt-policy.js';
export {
	type Blame,
	computeAllowedEnds,
	computeStandings,
	findBlame,
	findLastEnd,
	hasSuspectTrait,
	type RequestTraits,
	selectLastingEvidence,
	type Standings,
} from './coordination/crash-blame.js';
export {isProbeDue} from './coordination/crash-probe.js';
export {
	type Crash,
	type CrashEvidence,
	createCrashEvidence,
	type ProbeRecord,
	recordCitation,
	recordCrash,
	recordProbe,
	recordSound,
	removeOldCrashes,
	type Suspicion,
} from './coordination/crash-evidence.js';
export {
	createOrderCrashes,
	isOrderHeld,
	type OrderCrashes,
	type OrderSize,
	recordOrderCrash,
	recordOrderSuccess,
} from './coordination/order-crashes.js';
export {
	type Avoidance,
	createAvoidance,
	removeFailures,
	isAvoided,
	recordSuccess,
	recordFailure,
	type FailureSignal,
} from './coordination/avoidance.js';
export {
	type BudgetShare,
	type BudgetShareBounds,
	computeBudgetShare,
	createBudgetShare,
	describeBudgetShare,
	findMemberCount,
	type MemberCount,
	recordMemberCount,
	recordMembers,
	recordRenewal,
	type ShareBasis,
	type ShareLack,
} from './coordination/budget-share.js';
export {planLayerOrders} from './coordination/layer-orders.js';
export {
	choosePath,
	choosePathFromStage,
	type ComputeHopCost,
	listPathOptions,
	type PathEngine,
	type PathOption,
	type PathStage,
} from './coordination/layer-path.js';
export {
	computeMaxLayers,
	computeTokenCapacity,
	type LayerPlan,
	maxPipelineStages,
	type PlaceableEngine,
	planLayers,
	splitLayersByCapacity,
} from './coordination/layer-plan.js';
export {
	chooseFirstStage,
	computeBlendedRequests,
	computeCrowdCost,
	computeEvenWork,
	computeFleetWork,
	computeReportedOthers,
	computeReportWeight,
	type EngineLoad,
	type EngineLoadReport,
	type EngineWork,
	type FirstStageDraw,
	type FirstStageOption,
	isCrowded,
	unmeasuredLoad,
} from './coordination/path-load.js';
export {
	computeExplainedMs,
	noWaitSigns,
	recordFirstEventDelay,
	recordQueue,
	recordSign,
	type WaitSigns,
} from './coordination/wait-signs.js';
export {registerParserRefusals} from './transport/parser-refusal.js';
export {formatRawErrorResponse} from './transport/raw-response.js';
export {
	addRequestTokens,
	computeOwnSlack,
	createRetryTokens,
	type RetryTokenBounds,
	type RetryTokens,
	spendRetryToken,
	updateRetryTokens,
} from './coordination/retry-tokens.js';
export {
	countCertainRequests,
	countRecentRequests,
	createRetryWindow,
	decideWindowRetry,
	recordWindowRequest,
	type RetryWindow,
	type RetryWindowBounds,
} from './coordination/retry-window.js';
export {
	applyBackendChanges,
	applyLeaving,
	applyReportedLayers,
	applyRestoredBackends,
	type Backend,
	type BackendChange,
	type BackendsSnapshot,
	createBackends,
	isRemovedInstance,
	type LayerRange,
	listBackends,
	replaceBackends,
} from './state/backends.js';
export {
	type CallDurations,
	findLongestDuration,
	recordDuration,
} from './state/call-durations.js';
export {
	type Departure,
	type Departures,
	findSentInstance,
	formatInstance,
	recordDepartures,
} from './state/departures.js';
export {
	createInstanceEnds,
	hasInstanceEnded,
	type InstanceEnds,
	recordInstanceEnd,
	type SentRequest,
} from './state/instance-ends.js';
export {
	createStoreEra,
	isListRestored,
	recordStoreEra,
	type StoreEraState,
} from './state/store-era.js';
export {
	createPauses,
	findFirstPauseEnd,
	isPaused,
	parsePauseMs,
	type Pauses,
	recordPause,
	removePause,
} from './coordination/pauses.js';
export {
	applyLinkEvent,
	computeLinkDelayMs,
	createLinkDelay,
	createLinkPace,
	decideLinkPace,
	type LinkEvent,
	maxLinkDelayMs,
} from './coordination/link-delay.js';
export {
	computeUnreadMs,
	createLoopTicks,
	type LoopTicks,
	loopTickMs,
	recordLoopTick,
} from './coordination/loop-delay.js';
export {computeReturnMs, ReturnSchedule} from './coordination/return-time.js';
export {
	computeRoom,
	computeServiceCapacity,
	initialShortage,
	isRoomExceeded,
	type RoomEstimate,
	type ServiceCapacity,
	type Shortage,
	updateShortage,
} from './coordination/room-estimate.js';
export {
	addTurn,
	computeNextTurnAt,
	computeTurnDelayMs,
	createTurnQueue,
	removeLate,
	removeTurns,
	takeTurn,
	type TurnQueue,
	type TurnRequest,
} from './coordination/turn-queue.js';
export {
	computeUrgencyShares,
	CustomerShares,
	findPlaceRate,
	findUrgencyShare,
	type UrgencyShare,
} from './coordination/urgency-shares.js';
export {
	applyLimitNews,
	createServerLimits,
	findServerLimit,
	type LimitAnswer,
	minServerLimit,
	parseServerLimit,
	recordLimitAnswer,
	removeLimits,
	type ServerLimit,
	type ServerLimits,
} from './coordination/server-limits.js';
export {
	type AcceleratorKind,
	buildRouteIndex,
	type CallerBounds,
	findRoute,
	type GatewayService,
	type KeyHolder,
	type PipelineModel,
	pickRouteTarget,
	type RequestKind,
	type Route,
	type RouteIndex,
	type RouteTarget,
	type RoutingConfiguration,
} from './state/routes.js';
export {
	type BackendId,
	backendIdSchema,
	type RouteName,
	routeNameSchema,
	toBackendId,
	type InstanceKey,
	instanceKeySchema,
	type PromptPartId,
	type RequestTrait,
	requestTraitSchema,
	toInstanceKey,
	toPromptPartId,
	toRequestTrait,
	toRouteName,
} from './protocol/ids.js';
export {
	formatPairs,
	formatValue,
	type LogFields,
	parsePairs,
} from './protocol/log-pairs.js';
export {
	formatTrace,
	selectTrace,
	type TraceLine,
} from './state/request-trace.js';
export {
	type BoundedOutput,
	createBoundedOutput,
} from './transport/bounded-output.js';
export {pickLowest} from './state/pick-lowest.js';
export {splitBy} from './state/split-by.js';
export {
	computeLinkMbps,
	createLinkLoads,
	type LinkLoads,
	recordTransfer,
} from './state/link-loads.js';
