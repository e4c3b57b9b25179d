/** Measures the processor time of each kind of work and the bytes of each kind of frame. */
import {
	encodeFrame,
	foldRecord,
	FrameDecoder,
	HeartbeatScheduler,
	rowKeySchema,
	type HostId,
	LimitManager,
	type Message,
	selectAgentPeers,
	toAttempt,
	toCustomerId,
	toDataCentreId,
	toHostId,
	toIncarnation,
	toLimitKey,
	toLogOffset,
	toModelName,
	toPermitNumber,
	toPosition,
	toRequestId,
	updateConnectedHost,
} from 'bramleystage';
import {
	buildHosts,
	buildTable,
	createConnectedHost,
	createStages,
} from './capacity-state.js';
import {computeFit, type LinearFit} from './linear-fit.js';

const request = toRequestId('5e7c9f7a-3c1e-4a55-9f0b-0f9c1e1d2a3b');
const attempt = toAttempt(1);
const stagesPerRequest = 8;
const warmUpRuns = 200;
const microsecondsPerMs = 1000;

/** Samples of the frames that dominate the traffic of a large deployment. */
export const sampleFrames: Readonly<Record<string, Message>> = {
	token: {
		type: 'token',
		request,
		attempt,
		position: toPosition(100),
		token: 1234,
		text: ' word',
	},
	activation: {
		type: 'activation',
		request,
		attempt,
		index: 3,
		first: toPosition(100),
		position: toPosition(100),
		values: [3_123_456_789],
	},
	stageOpen: {
		type: 'stageOpen',
		request,
		attempt,
		lineage: attempt,
		keeps: false,
		model: toModelName('castle-guide'),
		version: '1',
		customer: toCustomerId('customer-12345'),
		weight: 1,
		priority: 5,
		stages: createStages(stagesPerRequest),
		index: 3,
		fromPosition: toPosition(0),
		maxTokens: 400,
		deadlineMs: 60_000,
	},
	heartbeat: {
		type: 'heartbeat',
		leaving: false,
		table: {next: toLogOffset(1234), ageMs: 210, sentAt: 1e6, echo: 1e6},
	},
	fullHeartbeat: {
		type: 'heartbeat',
		leaving: false,
		table: {next: toLogOffset(1234), ageMs: 210, sentAt: 1e6, echo: 1e6},
		offers: [...createConnectedHost(1).offers],
		load: {queued: 10, running: 64, rate: 250_000},
	},
	permitAsk: {
		type: 'permitAsk',
		number: toPermitNumber(12_345),
		key: toLimitKey('customer/customer-12345/requests_per_second'),
		kind: 'requests_per_second',
		amount: 1,
	},
	permitAnswer: {
		type: 'permitAnswer',
		number: toPermitNumber(12_345),
		granted: true,
		retryAfterMs: 0,
	},
};

/** Returns the microseconds of one run: the lowest mean of three rounds. */
function measureRun(runs: number, run: (index: number) => unknown): number {
	for (let index = 0; index < Math.min(runs, warmUpRuns); index++) {
		run(index);
	}

	const rounds = [0, 1, 2].map(() => {
		const startedAt = performance.now();
		for (let index = 0; index < runs; index++) {
			run(index);
		}

		return ((performance.now() - startedAt) * microsecondsPerMs) / runs;
	});
	return Math.min(...rounds);
}

const measureSizes = (
	sizes: readonly number[],
	prepare: (size: number) => (index: number) => unknown,
	runs: number,
): LinearFit =>
	computeFit(
		sizes.map((size) => ({size, value: measureRun(runs, prepare(size))})),
	);

/** Measures the bytes of each frame and the microseconds to encode and decode it. */
export function measureFrames(): Record<
	string,
	{bytes: number; codecUs: number}
> {
	const measured = Object.entries(sampleFrames).map(([name, message]) => {
		const bytes = encodeFrame(message).length;
		const codecUs = measureRun(5000, () => {
			const decoder = new FrameDecoder();
			decoder.append(encodeFrame(message));
			return decoder.readNext();
		});
		return [name, {bytes, codecUs}] as const;
	});
	return Object.fromEntries(measured);
}

/** Measures the microseconds of each kind of work that depends on a size. */
export function measureWork(): Record<string, LinearFit> {
	return {
		heartbeatTaken: measureSizes([64, 256, 1024], createHeartbeatRun, 2000),
		tableEdit: measureSizes([2000, 8000, 24_000], createEditRun, 50),
		permitOwn: measureSizes([1000, 6000, 24_000], createPermitRun, 5000),
		peerSelection: measureSizes([400, 1200, 3700], createPeersRun, 1),
	};
}

/**
 * Creates a run of one heartbeat: the sender builds it and the receiver updates
 * its hosts from it.
 */
function createHeartbeatRun(size: number) {
	let hosts = buildHosts(size);
	const scheduler = new HeartbeatScheduler(
		{heartbeatMs: 250, idleHeartbeatMs: 500, silenceMs: 1200},
		0,
	);
	return (index: number) => {
		const host = createConnectedHost(index % size);
		const {offers, load, leaving} = host;
		scheduler.createHeartbeat(
			{offers: [...offers], load, leaving},
			index * 1000,
		);
		hosts = updateConnectedHost(hosts, host);
	};
}

/** Creates a run that applies one edit to a table of a number of customers. */
function createEditRun(size: number) {
	let table = buildTable(size);
	return (index: number) => {
		const row = `customer/customer-${index % size}`;
		const current = table.rows.get(rowKeySchema.parse(row));
		const folded = foldRecord(table, toLogOffset(table.next), {
			kind: 'edit',
			format: 1,
			edit: `edit-${table.next}`,
			author: 'bench',
			at: '2026-01-01T00:00:00Z',
			changes: [
				{
					row,
					against: current?.version ?? null,
					cells: {weight: String(index + 1)},
				},
			],
		});
		table = folded.table;
	};
}

/**
 * Creates a run that acquires one permit from the entry's own limit share, with
 * the given number of limits in use.
 */
function createPermitRun(size: number) {
	let now = 0;
	const self = {
		host: toHostId('entry-1'),
		incarnation: toIncarnation('entry-1-1'),
	};
	const limitManager = new LimitManager({
		self,
		readClock: () => now,
		send: () => false,
		append() {
			// This run appends no records.
		},
		findLimit: () => undefined,
	});
	const {membership} = limitManager;
	const join = {kind: 'join', format: 1, ...self};
	const confirm = {...join, kind: 'confirm', epoch: 1};
	membership.applyBatch(
		toLogOffset(0),
		[join, confirm].map((value, offset) => ({
			offset: toLogOffset(offset),
			value,
		})),
		0,
	);
	membership.recordLogRead(0);
	return (index: number) => {
		now += 0.1;
		const key = toLimitKey(
			`customer/customer-${index % size}/requests_per_second`,
		);
		limitManager.acquire(
			{key, kind: 'requests_per_second', limit: 5},
			1,
			() => undefined,
		);
	};
}

/**
 * Creates a run in which one of 400 entries selects its agents among the given
 * number of agents.
 */
function createPeersRun(size: number) {
	const create = (name: string, count: number) =>
		Array.from({length: count}, (_, index) => ({
			host: toHostId(`${name}-${index}`),
			dataCentre: toDataCentreId(`centre-${index % 30}`),
		}));
	const entries = create('entry', 400);
	const agents = create('agent', size);
	return (): HostId[] =>
		selectAgentPeers(toHostId('entry-7'), entries, agents, 256);
}
