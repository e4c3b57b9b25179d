/**
 * The tables of docs/CAPACITY.md, computed from the figures that `bench
 * capacity` prints. `scripts/write-capacity.mjs` writes them; a test fails
 * where the page and the committed figures differ.
 */
import type {LinearFit} from './linear-fit.js';

/** Figures of `bench capacity`, as docs/capacity.json keeps them. */
export type CapacityFigures = {
	readonly state_bytes: Readonly<
		Record<'customer' | 'host' | 'limitLedger' | 'requestInFlight', LinearFit>
	>;
	readonly frames: Readonly<
		Record<string, {readonly bytes: number; readonly codecUs: number}>
	>;
	readonly work_us: Readonly<
		Record<
			'heartbeatTaken' | 'peerSelection' | 'permitOwn' | 'tableEdit',
			LinearFit
		>
	>;
	readonly control_bytes_per_second: Readonly<
		Record<'agent' | 'entry', LinearFit>
	>;
	readonly meter_to_socket: number;
	readonly permit_bytes_per_second_at_400: number;
};

/** The size that the system is designed for. */
export const targetSize = {
	entries: 400,
	agents: 3700,
	customers: 24_000,
	requestsPerSecond: 2700,
	tokensPerSecond: 1_100_000,
	editsPerDay: 1900,
	replacementsPerDay: 270,
	failuresPerDay: 47,
	/** Agents that an entry keeps sessions to. */
	sessionsPerEntry: 256,
	/** Sessions of each agent: every agent has the same number of entries. */
	entriesPerAgent: 28,
	stagesPerRequest: 8,
	tokensPerAnswer: 400,
	tokenGapSeconds: 0.062,
} as const;

/** What control may cost a node. */
export const controlLimits = {
	coreShare: 0.029,
	memoryBytes: 256e6,
	bytesPerSecond: 3000,
} as const;

const usPerSecond = 1e6;
const secondsPerDay = 86_400;
const idleBeatsPerSecond = 2;
const markers = {
	start: '<!-- computed tables: start -->',
	end: '<!-- computed tables: end -->',
} as const;

type Row = readonly [
	what: string,
	size: string,
	value: string,
	limit: string,
	from: string,
];

const readFit = ({slope, intercept}: LinearFit, size: number) =>
	Math.max(0, intercept + slope * size);
const formatBytes = (bytes: number) =>
	bytes >= 1e6
		? `${(bytes / 1e6).toFixed(1)} MB`
		: `${(bytes / 1e3).toFixed(1)} KB`;
const formatRate = (bytes: number) => `${(bytes / 1e3).toFixed(1)} KB/s`;
const formatShare = (share: number) => `${(share * 100).toFixed(2)}%`;

function formatTable(title: string, rows: readonly Row[]): string {
	const head =
		'| what | at size | value | limit | from |\n| --- | --- | --- | --- | --- |';
	const lines = rows.map((row) => `| ${row.join(' | ')} |`);
	return [`### ${title}`, '', head, ...lines].join('\n');
}

/** Requests that an entry has in flight: arrivals by the length of an answer. */
export const computeInFlight = () => {
	const {requestsPerSecond, entries, tokensPerAnswer, tokenGapSeconds} =
		targetSize;
	return (requestsPerSecond / entries) * tokensPerAnswer * tokenGapSeconds;
};

function listEntryRows(figures: CapacityFigures): Row[] {
	const {sessionsPerEntry, customers} = targetSize;
	const {state_bytes: state, work_us: work, frames} = figures;
	const inFlight = Math.round(computeInFlight());
	const memory = [
		readFit(state.customer, customers),
		readFit(state.host, sessionsPerEntry),
		readFit(state.limitLedger, customers),
		readFit(state.requestInFlight, inFlight),
	];
	const total = memory.reduce((sum, bytes) => sum + bytes, 0);
	const beats = sessionsPerEntry * idleBeatsPerSecond;
	const beatUs =
		readFit(work.heartbeatTaken, sessionsPerEntry) +
		(frames.heartbeat?.codecUs ?? 0);
	const traffic = readFit(
		figures.control_bytes_per_second.entry,
		sessionsPerEntry,
	);
	return [
		[
			'table',
			`${customers} customers`,
			formatBytes(memory[0]!),
			'',
			'state_bytes.customer',
		],
		[
			'hosts',
			`${sessionsPerEntry} agents`,
			formatBytes(memory[1]!),
			'',
			'state_bytes.host',
		],
		[
			'limits in use',
			`${customers} limits at most`,
			formatBytes(memory[2]!),
			'',
			'state_bytes.limitLedger',
		],
		[
			'model requests',
			`${inFlight} in flight`,
			formatBytes(memory[3]!),
			'',
			'state_bytes.requestInFlight',
		],
		[
			'state in all',
			'',
			formatBytes(total),
			formatBytes(controlLimits.memoryBytes),
			'sum of the above',
		],
		[
			'heartbeats taken',
			`${beats} a second`,
			formatShare((beats * beatUs) / usPerSecond),
			formatShare(controlLimits.coreShare),
			'work_us.heartbeatTaken, frames.heartbeat',
		],
		[
			'heartbeats sent',
			`${sessionsPerEntry} sessions`,
			formatRate(traffic),
			formatRate(controlLimits.bytesPerSecond),
			'control_bytes_per_second.entry',
		],
		[
			'permits',
			'400 entries',
			formatRate(figures.permit_bytes_per_second_at_400),
			'part of the above limit',
			'permit_bytes_per_second_at_400',
		],
		[
			'peer selection',
			'3,700 agents, at each change of the host list',
			`${(readFit(work.peerSelection, targetSize.agents) / 1000).toFixed(0)} ms`,
			'',
			'work_us.peerSelection',
		],
		[
			'table edit',
			`${targetSize.editsPerDay} a day`,
			`${readFit(work.tableEdit, customers).toFixed(0)} µs each`,
			'',
			'work_us.tableEdit',
		],
	];
}

function listDataRows({frames}: CapacityFigures): Row[] {
	const {tokensPerSecond, entries, agents, stagesPerRequest} = targetSize;
	const tokens = tokensPerSecond / entries;
	const hops = (tokensPerSecond * stagesPerRequest) / agents;
	const tokenUs = frames.token?.codecUs ?? 0;
	const hopUs = frames.activation?.codecUs ?? 0;
	return [
		[
			'tokens relayed by an entry',
			`${tokens.toFixed(0)} a second`,
			`${formatShare((tokens * tokenUs) / usPerSecond)} of a core for the frames`,
			'not control',
			'frames.token',
		],
		[
			'hops at an agent',
			`${hops.toFixed(0)} a second`,
			`${formatShare((hops * hopUs) / usPerSecond)} of a core for the frames`,
			'not control',
			'frames.activation',
		],
		[
			'token frames of an entry',
			`${tokens.toFixed(0)} a second`,
			formatRate(tokens * (frames.token?.bytes ?? 0)),
			'not control',
			'frames.token',
		],
	];
}

function listAgentRows(figures: CapacityFigures): Row[] {
	const {entriesPerAgent, customers} = targetSize;
	const {agent} = figures.control_bytes_per_second;
	// The measured site has two entries, so an agent has two sessions there.
	const perSession = readFit(agent, targetSize.agents) / 2;
	return [
		[
			'table',
			`${customers} customers`,
			formatBytes(readFit(figures.state_bytes.customer, customers)),
			formatBytes(controlLimits.memoryBytes),
			'state_bytes.customer',
		],
		[
			'heartbeats sent',
			`${entriesPerAgent} sessions`,
			formatRate(perSession * entriesPerAgent),
			formatRate(controlLimits.bytesPerSecond),
			'control_bytes_per_second.agent',
		],
	];
}

function listLogRows(): Row[] {
	const {editsPerDay, replacementsPerDay, failuresPerDay, entries, agents} =
		targetSize;
	const entryShare = entries / (entries + agents);
	const changes = (replacementsPerDay + failuresPerDay) * entryShare * 2;
	const confirmations = changes * entries;
	const perSecond = (count: number) =>
		`${(count / secondsPerDay).toFixed(2)} a second`;
	return [
		[
			'table edits',
			`${editsPerDay} a day`,
			perSecond(editsPerDay),
			'several hundred a second',
			'the stated size',
		],
		[
			'joins, drops and confirmations of limits',
			`${changes.toFixed(0)} changes a day by ${entries} entries`,
			perSecond(changes + confirmations),
			'several hundred a second',
			'one confirmation an entry and change',
		],
		[
			'claims',
			'at most one append each 20 ms an agent that has any',
			'50 a second an agent with keyed calls',
			'several hundred a second',
			'claim pacing of the agent',
		],
	];
}

/** Computes the part of the page between its markers. */
export const computeCapacityTables = (figures: CapacityFigures): string =>
	[
		formatTable('Entry: control', listEntryRows(figures)),
		formatTable('Agent: control', listAgentRows(figures)),
		formatTable('Data', listDataRows(figures)),
		formatTable("The platform's log", listLogRows()),
	].join('\n\n');

/** Replaces the computed part of a page. */
export function updateCapacityPage(
	page: string,
	figures: CapacityFigures,
): string {
	const start = page.indexOf(markers.start) + markers.start.length;
	const end = page.indexOf(markers.end);
	const tables = computeCapacityTables(figures);
	return `${page.slice(0, start)}\n\n${tables}\n\n${page.slice(end)}`;
}
