/** Benches of the system. Each prints one JSON object as its last line. */
export {
	benchLayers,
	createFleet,
	fleetLinkLatency,
	nearLinkLatency,
} from './bench-fleet.js';
export {type Bench, benches, type BenchFlags} from './benches.js';
export {capacityBench} from './capacity-bench.js';
export {
	type CapacityFigures,
	computeCapacityTables,
	computeInFlight,
	controlLimits,
	targetSize,
	updateCapacityPage,
} from './capacity-page.js';
export {
	buildHosts,
	buildTable,
	createConnectedHost,
	createStages,
	measureState,
} from './capacity-state.js';
export {
	measureControlTraffic,
	measureMeterAccuracy,
} from './capacity-traffic.js';
export {measureFrames, measureWork, sampleFrames} from './capacity-work.js';
export {type RunningChild, startChild} from './child-process.js';
export {runDecideBench} from './decide-bench.js';
export {
	type Demand,
	type DemandOptions,
	findPercentile,
	type CustomerResults,
	type Shape,
	startDemand,
} from './demand.js';
export {
	buildDirectStages,
	type DirectRequest,
	type DirectStage,
	runDirect,
} from './direct-pipeline.js';
export {computeTokenBound, type RatedLayerRange} from './engine-bound.js';
export {runFairnessBench} from './fairness-bench.js';
export {LimitAudit} from './limit-audit.js';
export {
	LimitSimulation,
	type LimitObserver,
	type SimulatedEntry,
} from './limit-simulation.js';
export {
	limitsBench,
	measurePermitTraffic,
	measureSingleEntryUse,
	runLimitFaults,
} from './limits-bench.js';
export {computeFit, type LinearFit, type Point} from './linear-fit.js';
export {overheadBench} from './overhead-bench.js';
export {
	computeFleetBound,
	overloadShapes,
	runOverload,
} from './overload-bench.js';
export {runRecoveryBench} from './recovery-bench.js';
export {
	type RecoveryHost,
	RecoverySite,
	type StartEntry,
} from './recovery-site.js';
export {Relay} from './relay.js';
export {
	listSiteEngines,
	measureSite,
	siteDeployment,
	type SiteFigures,
	type SiteLoad,
} from './site-throughput.js';
export {
	type ActiveStream,
	StreamCallers,
	type StreamCounts,
	type StreamOptions,
} from './stream-caller.js';
export {tableBench} from './table-bench.js';
export {
	type PartitionableLink,
	type FaultWindow,
	type FaultWindows,
	openPartitionableLink,
	runFaultSchedule,
} from './table-faults.js';
export {measureFold, publishInitialTable} from './table-import.js';
export {
	formatRow,
	type OperatorOptions,
	type OperatorResult,
	type PublishedEdit,
	runOperator,
} from './table-operators.js';
export {ReadinessSampler} from './readiness-sampler.js';
export {TableObserver} from './table-observer.js';
export {createDrawIndex, runThroughput} from './throughput-bench.js';
export {SimulatedEngine, type SimulatedStep} from './simulated-engine.js';
export {
	benchModel,
	type EngineSpec,
	type LinkLatency,
	SimulatedAgent,
	type SimulatedRequest,
	SimulatedSite,
} from './simulated-site.js';
