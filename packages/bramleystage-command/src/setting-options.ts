/** Settings as flags of a subcommand; each is an environment variable too. */
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

/** Exit code for wrong usage and wrong settings. */
export const usageExitCode = 2;

/** Adds a flag for each setting. */
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

/** Gives a setting's text: the flag first, then the variable. */
function readValue(
	name: string,
	flags: Readonly<Record<string, unknown>>,
	variables: Readonly<Record<string, string | undefined>>,
): unknown {
	const flag = flags[formatFlag(name)];
	if (typeof flag === 'boolean') {
		return String(flag);
	}

	return flag ?? variables[formatVariable(name)];
}

/** Reads settings from flags, then variables; ends with code 2 and every error. */
export function readSettings<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	flags: Readonly<Record<string, unknown>>,
	checkTogether?: CheckCombination,
): SettingValues<Definitions> {
	const values = Object.fromEntries(
		Object.keys(definitions).map((name) => [
			name,
			readValue(name, flags, process.env),
		]),
	);
	return parseSettings(definitions, values, checkTogether).match(
		(settings) => settings,
		(errors) => {
			for (const error of errors) {
				process.stderr.write(`bramleystage: ${error}\n`);
			}

			process.exit(usageExitCode);
		},
	);
}
