/** Stand-ins of the platform, engines and plain services. */
export {
	type AcceleratorKind,
	acceleratorKinds,
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
export {
	createRateLimit,
	defaultPlatformOptions,
	type PlatformOptions,
	startPlatform,
} from './platform.js';
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
