/**
 * Settings of the processes. Each can be set by a flag of the command and by an
 * environment variable `BRAMLEYSTAGE_…`. A test checks docs/SETTINGS.md against
 * these definitions.
 */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {dataCentreIdSchema, hostIdSchema} from './ids.js';

/** Definition of a setting: the schema that validates its text, and a description. */
export type SettingDefinition = {
	readonly schema: z.ZodType;
	readonly description: string;
	/** Whether the flag takes no value. */
	readonly isSwitch?: boolean;
};

export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

export type SettingValues<Definitions extends SettingDefinitions> = {
	readonly [Name in keyof Definitions]: z.output<Definitions[Name]['schema']>;
};

const address = z
	.string()
	.regex(/^[^\s:]+:\d{1,5}$|^\[[^\]]+\]:\d{1,5}$/v, 'must be host:port');
const httpUrl = z.url({protocol: /^https?$/v});
const durationMs = z.coerce.number().positive().max(86_400_000);

const common = {
	deployment: {
		schema: z.string().min(1).max(100).default('kaleli'),
		description: 'Name of the deployment; processes of another one are refused',
	},
	host: {schema: hostIdSchema, description: 'Name of this host'},
	dataCentre: {
		schema: dataCentreIdSchema,
		description: 'Data centre that this host stands in',
	},
	platform: {
		schema: address,
		description: "Address of the platform's services, host:port",
	},
	operatorListen: {
		schema: address.default('127.0.0.1:0'),
		description: 'Address of the operators’ port: metrics, health, dump',
	},
	logLevel: {
		schema: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
		description: 'Lowest level of the lines that are logged',
	},
	heartbeatMs: {
		schema: durationMs.default(250),
		description: 'Interval of heartbeats on a session, in milliseconds',
	},
	idleHeartbeatMs: {
		schema: durationMs.default(500),
		description:
			'Interval of heartbeats on a session without requests, in milliseconds',
	},
	silenceMs: {
		schema: durationMs.default(1200),
		description: 'A session is dead when silent for this long, in milliseconds',
	},
} as const;

export const entrySettings = {
	...common,
	listen: {
		schema: address.default('127.0.0.1:0'),
		description: "Address of the callers' HTTP port, host:port",
	},
	sessionListen: {
		schema: address.default('127.0.0.1:0'),
		description: 'Address for sessions of other entries, host:port',
	},
	maxAgentSessions: {
		schema: z.coerce.number().int().positive().max(10_000).default(256),
		description: 'Most agents that the entry keeps sessions to',
	},
	requestTimeoutMs: {
		schema: durationMs.default(120_000),
		description: 'Deadline of a request that names none, in milliseconds',
	},
	firstTokenTargetMs: {
		schema: durationMs.default(450),
		description:
			'Time to the first token above which a customer’s work in flight is cut, in milliseconds',
	},
	tokenGapTargetMs: {
		schema: durationMs.default(40),
		description:
			'Time between tokens above which a customer’s work in flight is cut, in milliseconds',
	},
	maxBodyBytes: {
		schema: z.coerce.number().int().positive().max(1e8).default(4_194_304),
		description: "Largest body of a caller's request, in bytes",
	},
	bodyTimeoutMs: {
		schema: durationMs.default(15_000),
		description:
			"A caller's headers and body must each arrive within this time, in milliseconds",
	},
	snapshotIntervalMs: {
		schema: durationMs.default(600_000),
		description:
			'A snapshot of the table is appended this often, in milliseconds; well under the retention of the log',
	},
	snapshotRecords: {
		schema: z.coerce.number().int().positive().max(1e6).default(2000),
		description:
			'A snapshot of the table is appended after this many records at the latest',
	},
} as const satisfies SettingDefinitions;
export type EntrySettings = SettingValues<typeof entrySettings>;

export const agentSettings = {
	...common,
	listen: {
		schema: address.default('127.0.0.1:0'),
		description: 'Address for sessions of entries and agents, host:port',
	},
	engine: {
		schema: httpUrl.optional(),
		description: 'URL of the model engine beside this agent',
	},
	service: {
		schema: httpUrl.optional(),
		description: 'URL of the plain service beside this agent',
	},
	serviceName: {
		schema: z.string().min(1).max(200).optional(),
		description: "Name of the plain service, as in the table's row",
	},
	slots: {
		schema: z.coerce.number().int().positive().max(10_000).default(64),
		description: 'Steps or calls that the backend server is given at once',
	},
	maxQueued: {
		schema: z.coerce.number().int().positive().max(1e6).default(1000),
		description: 'Steps or calls that may wait at the agent',
	},
} as const satisfies SettingDefinitions;
export type AgentSettings = SettingValues<typeof agentSettings>;

/** Validates settings that depend on one another; returns one error for each violated rule. */
export type CheckCombination = (
	values: Readonly<Record<string, unknown>>,
) => readonly string[];

/** Checks that an agent has either one engine, or one plain service with a name. */
export const checkAgentSettings: CheckCombination = ({
	engine,
	service,
	serviceName,
}) => {
	const errors: string[] = [];
	if ((engine === undefined) === (service === undefined)) {
		errors.push('--engine, --service: exactly one of them must be set');
	}

	if ((service === undefined) !== (serviceName === undefined)) {
		errors.push('--service, --service-name: must be set together');
	}

	return errors;
};

/** Validates all settings; returns a text for each error. */
export function parseSettings<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	values: Readonly<Record<string, unknown>>,
	checkCombination: CheckCombination = () => [],
): Result<SettingValues<Definitions>, string[]> {
	const shape = Object.fromEntries(
		Object.entries(definitions).map(([name, {schema}]) => [name, schema]),
	);
	const parsed = z.object(shape).safeParse(values);
	const issues = parsed.success ? [] : parsed.error.issues;
	const errors = [
		...issues.map(({path, message}) =>
			formatSettingError(String(path[0]), message, values),
		),
		...checkCombination(values),
	];
	return errors.length === 0
		? ok(parsed.data as SettingValues<Definitions>)
		: err(errors);
}

function formatSettingError(
	name: string,
	message: string,
	values: Readonly<Record<string, unknown>>,
): string {
	const reason = values[name] === undefined ? 'is not set' : message;
	return `--${formatFlag(name)} (${formatVariable(name)}): ${reason}`;
}

/** Formats the default value of a setting; undefined if the setting is required. */
export function formatDefault({schema}: SettingDefinition): string | undefined {
	const parsed = schema.safeParse(undefined);
	return parsed.success
		? `${(parsed.data as string | undefined) ?? ''}`
		: undefined;
}

/** Formats a setting's name as a flag: `dataCentre` becomes `data-centre`. */
export const formatFlag = (name: string) =>
	name.replaceAll(/[A-Z]/gv, (letter) => `-${letter.toLowerCase()}`);

/** Formats a setting's name as an environment variable. */
export const formatVariable = (name: string) =>
	`BRAMLEYSTAGE_${formatFlag(name).replaceAll('-', '_').toUpperCase()}`;
