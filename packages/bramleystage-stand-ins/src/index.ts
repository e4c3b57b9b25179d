/** Stand-ins that simulate the platform, model engines and plain services over HTTP. */
export {
	type AcceleratorKind,
	acceleratorKinds,
	computeBatchMs,
	computeLayerRate,
} from './accelerator.js';
export {BatchRunner, type RunStep} from './engine-batches.js';
export {
	hasLayers,
	type LoadedModel,
	LoadedModelManager,
	type OrderRefusal,
} from './loaded-model.js';
export {
	type KvCacheState,
	type Order,
	type Step,
	type StepOutput,
} from './engine-schema.js';
export {listStepInputs, SequenceStore} from './engine-sequences.js';
export {
	buildEndlessBodies,
	buildEndlessHeads,
	buildEndlessStreams,
	type EndlessAnswer,
	type EndlessConnection,
	type EndlessServer,
	type EndlessServerOptions,
	startEndlessServer,
} from './endless-server.js';
export {
	defaultLoadLagMs,
	defaultMaxBatchSteps,
	type EngineOptions,
	startEngineStandIn,
} from './engine.js';
export {pickPort} from './free-ports.js';
export {
	type Faults,
	faultsSchema,
	type RequestHandler,
	serveStandIn,
	type StandIn,
} from './stand-in-server.js';
export {LaggingValue} from './lagging-value.js';
export {
	createRateLimit,
	defaultPlatformOptions,
	type PlatformOptions,
	startPlatformStandIn,
} from './platform.js';
export {
	blockTokens,
	type CacheEvent,
	defaultPrefixCacheOptions,
	PrefixCache,
	type PrefixCacheOptions,
} from './prefix-cache.js';
export {
	computeReferenceCompletion,
	decodeToken,
	selectToken,
	encodeText,
	LayerRunner,
	type LayerState,
	type ReferenceCompletion,
	runLayer,
	vocabularySize,
} from './reference-model.js';
export {type ServiceOptions, startServiceStandIn} from './service.js';
export {VirtualClock} from './virtual-clock.js';
