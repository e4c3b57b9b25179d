/** Runs a complete local site in one process, for trying the system out, tests and benches. */
export {
	type Deployment,
	type DeploymentName,
	deploymentNames,
	deployments,
	type DeploymentEngine,
	formatSampleApiKey,
	listInitialRowChanges,
} from './deployments.js';
export {runSamples, type SampleResult} from './samples.js';
export {registerHost, type Site, type SiteOptions, startSite} from './site.js';
