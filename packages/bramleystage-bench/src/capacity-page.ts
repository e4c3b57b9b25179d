/**
 * Computes the tables of docs/CAPACITY.md from the figures that `bench capacity`
 * prints. `scripts/write-capacity.mjs` writes the tables into the page; a test
 * fails if the page does not match the committed figures.
 */
import type {LinearFit} from './linear-fit.js';

/** Output of `bench capacity`, as stored in docs/capacity.json. */
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

/** Deployment size and load that the system is designed for. */
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
	/** Sessions of each agent. Every agent is connected to equally many entries. */
	entriesPerAgent: 28,
	stagesPerRequest: 8,
	tokensPerAnswer: 400,
	tokenGapSeconds: 0.062,
} as const;

/** Limits on what control work may use on one host. */
export const controlLimits = {
	coreShare: 0.029,
	memoryBytes: 256e6,
	bytesPerSecond: 3000,
} as const;

const usPerSecond = 1e6;
const secondsPerDay = 86_400;
const idleHeartbeatsPerSecond = 2;
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

const computeFitAt = ({slope, intercept}: LinearFit, size: number) =>
	Math.max(0, intercept + slope * size);
const formatBytes = (bytes: number) =>
	bytes >= 1e6
		? `${(bytes / 1e6).toFixed(1)} MB`
		: `${(bytes / 1e3).toFixed(1)} KB`;
const formatRate = (bytes: number) => `${(bytes / 1e3).toFixed(1)} KB/s`;
const formatShare = (share: number) => `${(share * 100).toFixed(2)}%`;

function formatTable(title: string, rows: readonly Row[]): string {
	const header =
		'| what | at size | value | limit | from |\n| --- | --- | --- | --- | --- |';
	const lines = rows.map((row) => `| ${row.join(' | ')} |`);
	return [`### ${title}`, '', header, ...lines].join('\n');
}

/**
 * Computes the mean number of in-flight requests of an entry: arrival rate times
 * the duration of a response.
 */
export const computeInFlight = () => {
	const {requestsPerSecond, entries, tokensPerAnswer, tokenGapSeconds} =
		targetSize;
	return (requestsPerSecond / entries) * tokensPerAnswer * tokenGapSeconds;
};

function listEntryRows(figures: CapacityFigures): Row[] {
	const {sessionsPerEntry, customers} = targetSize;
	const {state_bytes: state, work_us: work, frames} = figures;
	const inFlight = Math.round(computeInFlight());
	const stateBytes = [
		computeFitAt(state.customer, customers),
		computeFitAt(state.host, sessionsPerEntry),
		computeFitAt(state.limitLedger, customers),
		computeFitAt(state.requestInFlight, inFlight),
	];
	const totalStateBytes = stateBytes.reduce((sum, bytes) => sum + bytes, 0);
	const heartbeatsPerSecond = sessionsPerEntry * idleHeartbeatsPerSecond;
	const heartbeatUs =
		computeFitAt(work.heartbeatTaken, sessionsPerEntry) +
		(frames.heartbeat?.codecUs ?? 0);
	const controlBytesPerSecond = computeFitAt(
		figures.control_bytes_per_second.entry,
		sessionsPerEntry,
	);
	return [
		[
			'table',
			`${customers} customers`,
			formatBytes(stateBytes[0]!),
			'',
			'state_bytes.customer',
		],
		[
			'hosts',
			`${sessionsPerEntry} agents`,
			formatBytes(stateBytes[1]!),
			'',
			'state_bytes.host',
		],
		[
			'limits in use',
			`${customers} limits at most`,
			formatBytes(stateBytes[2]!),
			'',
			'state_bytes.limitLedger',
		],
		[
			'model requests',
			`${inFlight} in flight`,
			formatBytes(stateBytes[3]!),
			'',
			'state_bytes.requestInFlight',
		],
		[
			'state in all',
			'',
			formatBytes(totalStateBytes),
			formatBytes(controlLimits.memoryBytes),
			'sum of the above',
		],
		[
			'heartbeats taken',
			`${heartbeatsPerSecond} a second`,
			formatShare((heartbeatsPerSecond * heartbeatUs) / usPerSecond),
			formatShare(controlLimits.coreShare),
			'work_us.heartbeatTaken, frames.heartbeat',
		],
		[
			'heartbeats sent',
			`${sessionsPerEntry} sessions`,
			formatRate(controlBytesPerSecond),
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
			`${(computeFitAt(work.peerSelection, targetSize.agents) / 1000).toFixed(0)} ms`,
			'',
			'work_us.peerSelection',
		],
		[
			'table edit',
			`${targetSize.editsPerDay} a day`,
			`${computeFitAt(work.tableEdit, customers).toFixed(0)} µs each`,
			'',
			'work_us.tableEdit',
		],
	];
}

function listDataRows({frames}: CapacityFigures): Row[] {
	const {tokensPerSecond, entries, agents, stagesPerRequest} = targetSize;
	const entryTokensPerSecond = tokensPerSecond / entries;
	const agentHopsPerSecond = (tokensPerSecond * stagesPerRequest) / agents;
	const tokenUs = frames.token?.codecUs ?? 0;
	const hopUs = frames.activation?.codecUs ?? 0;
	return [
		[
			'tokens relayed by an entry',
			`${entryTokensPerSecond.toFixed(0)} a second`,
			`${formatShare((entryTokensPerSecond * tokenUs) / usPerSecond)} of a core for the frames`,
			'not control',
			'frames.token',
		],
		[
			'hops at an agent',
			`${agentHopsPerSecond.toFixed(0)} a second`,
			`${formatShare((agentHopsPerSecond * hopUs) / usPerSecond)} of a core for the frames`,
			'not control',
			'frames.activation',
		],
		[
			'token frames of an entry',
			`${entryTokensPerSecond.toFixed(0)} a second`,
			formatRate(entryTokensPerSecond * (frames.token?.bytes ?? 0)),
			'not control',
			'frames.token',
		],
	];
}

function listAgentRows(figures: CapacityFigures): Row[] {
	const {entriesPerAgent, customers} = targetSize;
	const {agent} = figures.control_bytes_per_second;
	// The benchmarked site has two entries, so each of its agents has two sessions.
	const bytesPerSession = computeFitAt(agent, targetSize.agents) / 2;
	return [
		[
			'table',
			`${customers} customers`,
			formatBytes(computeFitAt(figures.state_bytes.customer, customers)),
			formatBytes(controlLimits.memoryBytes),
			'state_bytes.customer',
		],
		[
			'heartbeats sent',
			`${entriesPerAgent} sessions`,
			formatRate(bytesPerSession * entriesPerAgent),
			formatRate(controlLimits.bytesPerSecond),
			'control_bytes_per_second.agent',
		],
	];
}

function listLogRows(): Row[] {
	const {editsPerDay, replacementsPerDay, failuresPerDay, entries, agents} =
		targetSize;
	const entryFraction = entries / (entries + agents);
	const changesPerDay =
		(replacementsPerDay + failuresPerDay) * entryFraction * 2;
	const confirmationsPerDay = changesPerDay * entries;
	const formatPerSecond = (count: number) =>
		`${(count / secondsPerDay).toFixed(2)} a second`;
	return [
		[
			'table edits',
			`${editsPerDay} a day`,
			formatPerSecond(editsPerDay),
			'several hundred a second',
			'the stated size',
		],
		[
			'joins, drops and confirmations of limits',
			`${changesPerDay.toFixed(0)} changes a day by ${entries} entries`,
			formatPerSecond(changesPerDay + confirmationsPerDay),
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

/** Computes the Markdown between the markers of the page. */
export const computeCapacityTables = (figures: CapacityFigures): string =>
	[
		formatTable('Entry: control', listEntryRows(figures)),
		formatTable('Agent: control', listAgentRows(figures)),
		formatTable('Data', listDataRows(figures)),
		formatTable("The platform's log", listLogRows()),
	].join('\n\n');

/** Returns a page with the part between its markers replaced by new tables. */
export function updateCapacityPage(
	page: string,
	figures: CapacityFigures,
): string {
	const start = page.indexOf(markers.start) + markers.start.length;
	const end = page.indexOf(markers.end);
	const tables = computeCapacityTables(figures);
	return `${page.slice(0, start)}\n\n${tables}\n\n${page.slice(end)}`;
}
