/**
 * Settings of the subcommands that run stand-ins: `site` runs a complete local
 * site in one process, and `stand-in` runs a single stand-in as its own process.
 */
import {
	logLevels,
	type SettingDefinitions,
	type SettingValues,
} from 'bramleystage';
import {deploymentNames} from 'bramleystage-site';
import {
	type AcceleratorKind,
	acceleratorKinds,
	defaultLoadLagMs,
	defaultMaxBatchSteps,
	defaultPlatformOptions,
	defaultPrefixCacheOptions,
} from 'bramleystage-stand-ins';
import * as z from 'zod';

const maxRate = 1_000_000;
const maxLayers = 10_000;
const maxPort = 65_535;

const createIntegerSchema = (min: number, max: number) =>
	z.coerce.number().int().min(min).max(max);

const port = {
	schema: createIntegerSchema(0, maxPort).default(0),
	description: 'Port on 127.0.0.1; 0 takes a free one',
};

/** Settings of `bramleystage site`. */
export const siteSettings = {
	deployment: {
		schema: z.enum(deploymentNames).default('kaleli'),
		description: `Which sample deployment to run: ${deploymentNames.join(' or ')}`,
	},
	exit: {
		schema: z.stringbool().default(false),
		description: 'End after the samples: 0 if all answers were right, else 1',
		isSwitch: true,
	},
	logLevel: {
		schema: z.enum(logLevels).default('warn'),
		description: 'Lowest level of the lines that are logged',
	},
} as const satisfies SettingDefinitions;
export type SiteSettings = SettingValues<typeof siteSettings>;

/** Settings of `bramleystage stand-in platform`. */
export const platformSettings = {
	port,
	appendsPerSecond: {
		schema: createIntegerSchema(1, maxRate).default(
			defaultPlatformOptions.appendsPerSecond,
		),
		description: 'Appends that the log takes a second',
	},
	retainedRecords: {
		schema: createIntegerSchema(1, maxRate).default(
			defaultPlatformOptions.retainedRecords,
		),
		description: 'Records that each stream of the log keeps',
	},
	hostLagMs: {
		schema: createIntegerSchema(0, 600_000).default(
			defaultPlatformOptions.hostLagMs,
		),
		description: 'Time until a change of the host list shows, in milliseconds',
	},
	weightReadsPerSecond: {
		schema: createIntegerSchema(1, maxRate).default(
			defaultPlatformOptions.weightReadsPerSecond,
		),
		description: 'Reads that the weight store takes a second',
	},
} as const satisfies SettingDefinitions;

const acceleratorKindNames = Object.keys(acceleratorKinds) as [
	AcceleratorKind,
	...AcceleratorKind[],
];

/** Settings of `bramleystage stand-in engine`. */
export const engineSettings = {
	port,
	model: {
		schema: z.string().min(1).max(200).default('castle-guide'),
		description: 'Name of the model',
	},
	modelVersion: {
		schema: z.string().min(1).max(100).default('1'),
		description: 'Version of the model',
	},
	fromLayer: {
		schema: createIntegerSchema(0, maxLayers).default(0),
		description: 'First layer that the engine holds',
	},
	toLayer: {
		schema: createIntegerSchema(1, maxLayers).default(24),
		description: 'First layer after those that the engine holds',
	},
	layers: {
		schema: createIntegerSchema(1, maxLayers).default(24),
		description: 'Layers of the whole model',
	},
	kind: {
		schema: z.enum(acceleratorKindNames).default('medium'),
		description: `Accelerator kind: ${acceleratorKindNames.join(', ')}`,
	},
	checksFencing: {
		schema: z.stringbool().default(true),
		description: 'Refuse orders with an old fencing number',
		isSwitch: true,
	},
	maxBatchSteps: {
		schema: createIntegerSchema(1, maxRate).default(defaultMaxBatchSteps),
		description: 'Steps of one batch',
	},
	loadLagMs: {
		schema: createIntegerSchema(0, 600_000).default(defaultLoadLagMs),
		description: 'Age of the load report, in milliseconds',
	},
	cacheBlocks: {
		schema: createIntegerSchema(1, maxRate).default(
			defaultPrefixCacheOptions.maxBlocks,
		),
		description: 'Blocks of tokens that the prefix cache keeps',
	},
	cacheEventLagMs: {
		schema: createIntegerSchema(0, 600_000).default(
			defaultPrefixCacheOptions.eventLagMs,
		),
		description: 'How late cache events appear, in milliseconds',
	},
	cacheLoseEvery: {
		schema: createIntegerSchema(0, maxRate).default(
			defaultPrefixCacheOptions.loseEvery,
		),
		description: 'One cache event in this many is lost; 0 loses none',
	},
} as const satisfies SettingDefinitions;

/** Settings of `bramleystage stand-in service`. */
export const serviceSettings = {
	port,
	name: {
		schema: z.string().min(1).max(200).default('ticket-office'),
		description: 'Name that the service gives in its answers',
	},
	bookingMs: {
		schema: createIntegerSchema(0, 600_000).default(5),
		description: 'Time that a booking takes, in milliseconds',
	},
} as const satisfies SettingDefinitions;
