/** Settings of a subcommand, read from its flags and from environment variables. */
import process from 'node:process';
import {
	type CheckCombination,
	formatDefault,
	formatFlag,
	formatVariable,
	parseSettings,
	type SettingDefinition,
	type SettingDefinitions,
	type SettingValues,
} from 'bramleystage';
import type {Argv} from 'yargs';

/** Exit code for wrong usage and invalid settings. */
export const usageExitCode = 2;

/** Adds a flag for each setting; its help names the default and the environment variable. */
export function registerSettingOptions<T>(
	argv: Argv<T>,
	definitions: SettingDefinitions,
): Argv<T> {
	for (const [name, definition] of Object.entries(definitions)) {
		argv.option(formatFlag(name), {
			type: definition.isSwitch ? 'boolean' : 'string',
			describe: `${definition.description}${describeDefault(definition)} [${formatVariable(name)}]`,
		});
	}

	return argv;
}

function describeDefault(definition: SettingDefinition): string {
	const value = formatDefault(definition);
	if (value === undefined) {
		return ' (required)';
	}

	return value === '' ? '' : ` (default ${value})`;
}

/** Returns the unparsed value of a setting; a flag takes precedence over the environment variable. */
function readValue(
	name: string,
	flags: Readonly<Record<string, unknown>>,
	environment: Readonly<Record<string, string | undefined>>,
): unknown {
	const flag = flags[formatFlag(name)];
	if (typeof flag === 'boolean') {
		return String(flag);
	}

	return flag ?? environment[formatVariable(name)];
}

/**
 * Reads settings from flags and environment variables. If any is invalid, prints
 * every error and exits the process with code 2.
 */
export function readSettings<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	flags: Readonly<Record<string, unknown>>,
	checkCombination?: CheckCombination,
): SettingValues<Definitions> {
	const values = Object.fromEntries(
		Object.keys(definitions).map((name) => [
			name,
			readValue(name, flags, process.env),
		]),
	);
	return parseSettings(definitions, values, checkCombination).match(
		(settings) => settings,
		(errors) => {
			for (const error of errors) {
				process.stderr.write(`bramleystage: ${error}\n`);
			}

			process.exit(usageExitCode);
		},
	);
}
