/** Checks the pages under docs/ and the example tables against the code. */
import {readFileSync} from 'node:fs';
import {
	agentSettings,
	cellSchemas,
	createLogger,
	createTable,
	entrySettings,
	foldRecord,
	formatDefault,
	formatFlag,
	formatVariable,
	resultCodes,
	rowKindSchema,
	type SettingDefinitions,
	toLogOffset,
} from 'bramleystage';
import {computeKeyDigest} from 'bramleystage-entry';
import {
	deploymentNames,
	deployments,
	formatSampleApiKey,
	startSite,
} from 'bramleystage-site';
import papaparse from 'papaparse';
import {expect, test} from 'vitest';
import {
	engineSettings,
	platformSettings,
	serviceSettings,
	siteSettings,
} from '../local-settings.js';
import {tableSettings} from '../table-command.js';

const readText = (path: string) =>
	readFileSync(new URL(`../../../../${path}`, import.meta.url), 'utf8');

/** Lists the cells of each row of the tables in a page, without the header rows. */
function listRows(text: string): string[][] {
	return text
		.split('\n')
		.filter(
			(line) =>
				line.startsWith('| ') && !/^\| (?:flag|code|verb|name) \|/v.test(line),
		)
		.map((line) =>
			line
				.slice(1, -1)
				.split(' | ')
				.map((cell) => cell.trim()),
		);
}

test('docs/RESULT-CODES.md lists every code', () => {
	const expected = Object.entries(resultCodes).map(
		([name, {code, status, outcome, meaning}]) => [
			String(code),
			`\`${name}\``,
			String(status),
			outcome,
			meaning,
		],
	);
	expect(listRows(readText('docs/RESULT-CODES.md'))).toEqual(expected);
});

test('every result code has a unique number', () => {
	const codes = Object.values(resultCodes).map(({code}) => code);
	expect(new Set(codes).size).toBe(codes.length);
});

const settingSections: Array<[string, SettingDefinitions]> = [
	['entry', entrySettings],
	['agent', agentSettings],
	['site', siteSettings],
	['table', tableSettings],
	['stand-in platform', platformSettings],
	['stand-in engine', engineSettings],
	['stand-in service', serviceSettings],
];

function formatDefaultCell(value: string | undefined): string {
	if (value === undefined) {
		return 'required';
	}

	return value === '' ? 'none' : `\`${value}\``;
}

test.each(settingSections)(
	'docs/SETTINGS.md lists every setting of %s',
	(name, definitions) => {
		const text = readText('docs/SETTINGS.md');
		const [, section = ''] = text.split(`\n## bramleystage ${name}\n`);
		const [body = ''] = section.split('\n## ');
		const expected = Object.entries(definitions).map(([key, definition]) => [
			`\`--${formatFlag(key)}\``,
			`\`${formatVariable(key)}\``,
			formatDefaultCell(formatDefault(definition)),
			definition.description,
		]);
		expect(listRows(body)).toEqual(expected);
	},
);

test('docs/VERBS.md lists the verbs that lint allows', () => {
	const config = readText('xo.config.js');
	const list = /const verbs = \[(?<lines>.*?)\]/sv.exec(config)?.groups?.lines;
	const allowed = [...(list ?? '').matchAll(/'(?<verbs>[^']+)'/gv)].flatMap(
		(match) => match.groups?.verbs?.split('|') ?? [],
	);
	const listed = listRows(readText('docs/VERBS.md')).map(([verb]) => verb);
	expect(listed).toEqual(allowed.map((verb) => `\`${verb}\``));
});

test('every metric in docs/OPERATING.md is exposed by a process', async () => {
	const site = await startSite(deployments.kaleli, createLogger('error', {}));
	const texts = await Promise.all(
		[...site.entries, ...site.agents.values()].map(
			async ({operatorAddress}) => {
				const response = await fetch(`http://${operatorAddress}/metrics`);
				return response.text();
			},
		),
	);
	await site.stop();
	const metrics = texts.join('\n');
	const rows = listRows(readText('docs/OPERATING.md')).filter(([name]) =>
		name?.startsWith('`bramleystage_'),
	);
	expect(rows.length).toBeGreaterThanOrEqual(10);
	for (const [name = '', type] of rows) {
		expect(metrics).toContain(`# TYPE ${name.replaceAll('`', '')} ${type}`);
	}
});

type CsvRow = {readonly kind: string; readonly name: string};

test.each(deploymentNames)('examples/%s.csv is a valid table', (name) => {
	const {data, errors, meta} = papaparse.parse<CsvRow & Record<string, string>>(
		readText(`examples/${name}.csv`).trim(),
		{header: true},
	);
	expect(errors).toEqual([]);
	expect(meta.fields?.slice(0, 2)).toEqual(['kind', 'name']);
	const changes = data.map(({kind, name: rowName, ...cells}) => ({
		row: `${kind}/${rowName}`,
		against: null,
		cells: Object.fromEntries(
			Object.entries(cells).filter(([, value]) => value !== ''),
		),
	}));
	const {table, result} = foldRecord(createTable(), toLogOffset(0), {
		kind: 'edit',
		format: 1,
		edit: 'example',
		author: 'test',
		at: '2026-01-01T00:00:00Z',
		changes,
	});
	expect(result?.refused).toEqual([]);
	expect(result?.accepted).toHaveLength(data.length);
	const {customers, models, services} = table.view;
	const deployment = deployments[name];
	expect([...customers.keys()].toSorted()).toEqual(
		deployment.customers.toSorted(),
	);
	for (const [customer, {key_sha256: digest}] of customers) {
		expect(digest).toBe(computeKeyDigest(formatSampleApiKey(customer)));
	}

	expect([...models.keys()]).toEqual([deployment.model]);
	expect([...services.keys()]).toEqual([deployment.service]);
});

test.each(deploymentNames)('examples/%s.csv has every column', (name) => {
	const [header = ''] = readText(`examples/${name}.csv`).split('\n');
	const columns = rowKindSchema.options.flatMap((kind) =>
		Object.keys(cellSchemas[kind].shape),
	);
	expect(new Set(header.split(','))).toEqual(
		new Set(['kind', 'name', ...columns]),
	);
});
