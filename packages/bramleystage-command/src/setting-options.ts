/** Settings as flags of a subcommand; each is an environment variable too. */
import process from 'node:process';
import {
	formatFlag,
	formatVariable,
	parseSettings,
	type SettingDefinitions,
	type SettingValues,
} from 'bramleystage';
import type {Argv} from 'yargs';

const usageExitCode = 2;

/** Adds a flag for each setting. */
export function registerSettingOptions<T>(
	argv: Argv<T>,
	definitions: SettingDefinitions,
): Argv<T> {
	for (const [name, {description}] of Object.entries(definitions)) {
		argv.option(formatFlag(name), {
			type: 'string',
			describe: `${description} [${formatVariable(name)}]`,
		});
	}

	return argv;
}

/** Reads settings from flags, then variables; ends with code 2 and every error. */
export function readSettings<Definitions extends SettingDefinitions>(
	definitions: Definitions,
	flags: Readonly<Record<string, unknown>>,
): SettingValues<Definitions> {
	const values = Object.fromEntries(
		Object.keys(definitions).map((name) => [
			name,
			flags[formatFlag(name)] ?? process.env[formatVariable(name)],
		]),
	);
	return parseSettings(definitions, values).match(
		(settings) => settings,
		(errors) => {
			for (const error of errors) {
				process.stderr.write(`bramleystage: ${error}\n`);
			}

			process.exit(usageExitCode);
		},
	);
}
