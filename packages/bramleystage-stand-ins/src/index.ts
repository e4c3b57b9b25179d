/** Stand-ins of the platform, engines and plain services. */
export {
	type AcceleratorKind,
	acceleratorKinds,
	computeBatchMs,
	computeLayerRate,
} from './accelerator.js';
export {BatchRunner, type RunStep} from './engine-batches.js';
export {
	hasLayers,
	type Holding,
	HoldingDesk,
	type OrderRefusal,
} from './engine-holding.js';
export {
	type CacheState,
	type Order,
	type Step,
	type StepAnswer,
} from './engine-schema.js';
export {listInputs, SequenceStore} from './engine-sequences.js';
export {
	defaultLoadLagMs,
	defaultMaxBatchSteps,
	type EngineOptions,
	startEngine,
} from './engine.js';
export {
	type Faults,
	faultsSchema,
	type Route,
	serveStandIn,
	type StandIn,
} from './faults.js';
export {LaggingValue} from './lagging-value.js';
export {
	createRateLimit,
	defaultPlatformOptions,
	type PlatformOptions,
	startPlatform,
} from './platform.js';
export {
	blockTokens,
	type CacheEvent,
	defaultPrefixCacheOptions,
	PrefixCache,
	type PrefixCacheOptions,
} from './prefix-cache.js';
export {
	computeReference,
	decodeToken,
	drawToken,
	encodeText,
	LayerRange,
	type LayerState,
	type ReferenceAnswer,
	runLayer,
	vocabularySize,
} from './reference-model.js';
export {type ServiceOptions, startService} from './service.js';
