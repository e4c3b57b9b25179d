/**
 * Lists the processes of a sample site and the command of each: the stand-in
 * platform, stand-ins of six engines and one service, an agent for each of these
 * seven, and two entries.
 */
import {fileURLToPath} from 'node:url';
import {deployments} from '../packages/bramleystage-site/dist/index.js';

/** Directory that the commands run in. */
export const workingDirectory = fileURLToPath(new URL('..', import.meta.url));

/** Path of the built command-line program. */
export const commandPath = fileURLToPath(
	new URL('../packages/bramleystage-command/dist/main.js', import.meta.url),
);

/** Ports that a site needs: one per stand-in, two per agent and three per entry. */
export const portCount = 28;

/** Lists the site's consecutive ports from a first port on. */
export const listPorts = (basePort) =>
	Array.from({length: portCount}, (_, index) => basePort + index);

/** Formats flags of a command line: `{host: 'a'}` becomes `--host a`. */
const formatFlags = (values) =>
	Object.entries(values).flatMap(([name, value]) => [
		`--${name}`,
		String(value),
	]);

const selectPort = (address) => address.split(':')[1];

/**
 * Lists the processes in their start order. `phase` is 1 for stand-ins of outside
 * systems, 2 for agents and 3 for entries.
 */
export function listProcesses(deploymentName, ports) {
	const deployment = deployments[deploymentName];
	const remaining = [...ports];
	const takeAddress = () => `127.0.0.1:${remaining.shift()}`;
	const platform = takeAddress();
	const common = {
		deployment: deployment.name,
		platform,
		'log-level': 'warn',
	};
	const backends = [
		...listEngines(deployment, takeAddress),
		createService(deployment, takeAddress),
	];
	const agents = backends.map((backend) =>
		createAgent(backend, common, takeAddress),
	);
	const entries = [0, 1].map((index) =>
		createEntry(deployment, index, common, takeAddress),
	);
	const platformProcess = {
		name: 'platform',
		phase: 1,
		words: [
			'stand-in',
			'platform',
			...formatFlags({port: selectPort(platform)}),
		],
	};
	return {
		deployment,
		platform,
		entries,
		processes: [platformProcess, ...backends, ...agents, ...entries],
		hosts: [...agents, ...entries].map(({host}) => host),
	};
}

const listEngines = (deployment, takeAddress) =>
	deployment.engines.map((engine) => {
		const address = takeAddress();
		const flags = formatFlags({
			port: selectPort(address),
			model: deployment.model,
			'model-version': deployment.version,
			layers: deployment.layers,
			'from-layer': engine.fromLayer,
			'to-layer': engine.toLayer,
			kind: engine.acceleratorKind,
		});
		return {
			name: `${engine.host}-stand-in`,
			phase: 1,
			hostName: engine.host,
			dataCentre: engine.dataCentre,
			agentFlags: {engine: `http://${address}`},
			words: ['stand-in', 'engine', ...flags],
		};
	});

function createService(deployment, takeAddress) {
	const address = takeAddress();
	const hostName = `${deployment.service}-1`;
	const flags = formatFlags({port: selectPort(address), name: hostName});
	return {
		name: `${hostName}-stand-in`,
		phase: 1,
		hostName,
		dataCentre: deployment.dataCentres[0],
		agentFlags: {
			service: `http://${address}`,
			'service-name': deployment.service,
		},
		words: ['stand-in', 'service', ...flags],
	};
}

function createAgent({hostName, dataCentre, agentFlags}, common, takeAddress) {
	const address = takeAddress();
	const host = {role: 'agent', hostName, dataCentre, phase: 2, address};
	return createDaemon(
		{...host, sessionAddress: address},
		{...common, ...agentFlags},
		takeAddress,
	);
}

function createEntry(deployment, index, common, takeAddress) {
	const sessionAddress = takeAddress();
	return createDaemon(
		{
			role: 'entry',
			hostName: `entry-${index + 1}`,
			dataCentre: deployment.dataCentres[index],
			phase: 3,
			address: takeAddress(),
			sessionAddress,
		},
		{...common, 'session-listen': sessionAddress},
		takeAddress,
	);
}

/** Describes an agent or entry. Other agents and entries connect to its `sessionAddress`. */
function createDaemon(daemon, extraFlags, takeAddress) {
	const {role, hostName, dataCentre, phase, address, sessionAddress} = daemon;
	const operatorAddress = takeAddress();
	const flags = formatFlags({
		host: hostName,
		'data-centre': dataCentre,
		...extraFlags,
		listen: address,
		'operator-listen': operatorAddress,
	});
	return {
		name: hostName,
		phase,
		address,
		operatorAddress,
		host: {
			host: hostName,
			role,
			dataCentre,
			address: sessionAddress,
			state: 'live',
		},
		words: [role, ...flags],
	};
}

/** Builds the HTTP request that registers a host with the platform. */
export const buildRegistration = (platform, host) => ({
	method: 'PUT',
	url: `http://${platform}/v1/hosts/${host.host}`,
	body: JSON.stringify(host),
});

/** Lists the arguments of the command that publishes a deployment's first table. */
export const listPublicationWords = ({platform, deployment, entries}) => [
	'table',
	'import',
	`examples/${deployment.name}.csv`,
	...formatFlags({
		platform,
		operators: entries.map(({operatorAddress}) => operatorAddress).join(','),
		author: 'example',
	}),
	'--yes',
];

/** Reads the value of `--name` from a command line, or returns the fallback. */
export function readFlag(flags, name, fallback) {
	const index = flags.indexOf(`--${name}`);
	return index === -1 ? fallback : flags[index + 1];
}
