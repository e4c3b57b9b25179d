/** The operators' command, as functions. */
export {agentCommand, dumpCommand, entryCommand} from './daemon-commands.js';
export {
	type Deployment,
	type DeploymentName,
	deploymentNames,
	deployments,
	type EnginePlace,
	formatSampleKey,
	listTableRows,
} from './deployments.js';
export {type Stoppable, waitForStop} from './process-command.js';
export {runSamples, type SampleResult} from './samples.js';
export {readSettings, registerSettingOptions} from './setting-options.js';
export {siteCommand} from './site-command.js';
export {registerHost, type Site, startSite} from './site.js';
export {standInCommand} from './stand-in-commands.js';
