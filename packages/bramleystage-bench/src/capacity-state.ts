/** Measures the heap bytes of each kind of state at three sizes. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import process from 'node:process';
import {
	type ConnectedHost,
	createHosts,
	createModelRun,
	createTable,
	decideModelRun,
	decidePermit,
	createLimitLedger,
	foldRecord,
	type HostsSnapshot,
	type LimitLedger,
	type ModelRunState,
	type Stage,
	toAttempt,
	toDataCentreId,
	toHostId,
	toIncarnation,
	toLogOffset,
	toModelName,
	toPosition,
	toRequestId,
	updateConnectedHost,
} from 'bramleystage';
import {computeFit, type LinearFit} from './linear-fit.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Measures the heap bytes that a value returned by `build` retains. */
function measureHeap(build: () => unknown): number {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const value = build();
	collectGarbage();
	const after = process.memoryUsage().heapUsed;
	return value === undefined ? 0 : after - before;
}

const measureSizes = (
	sizes: readonly number[],
	build: (size: number) => unknown,
): LinearFit =>
	computeFit(
		sizes.map((size) => ({size, value: measureHeap(() => build(size))})),
	);

/** Measures each kind of state; slopes are in bytes per item. */
export function measureState(): Record<string, LinearFit> {
	return {
		customer: measureSizes([2000, 8000, 24_000], buildTable),
		host: measureSizes([64, 256, 1024], buildHosts),
		requestInFlight: measureSizes([200, 1000, 4000], buildRuns),
		limitLedger: measureSizes([1000, 6000, 24_000], buildLedgers),
	};
}

/** Builds a table with the given number of customers. */
export function buildTable(size: number) {
	const changes = Array.from({length: size}, (_, index) => ({
		row: `customer/customer-${index}`,
		against: null,
		cells: {
			key_sha256: index.toString(16).padStart(64, '0'),
			weight: '1',
			requests_per_second: '5',
			tokens_per_second: '2000',
		},
	}));
	const record = {
		kind: 'edit',
		format: 1,
		edit: 'first',
		author: 'bench',
		at: '2026-01-01T00:00:00Z',
		changes,
	};
	return foldRecord(createTable(), toLogOffset(0), record).table;
}

/** Creates one host with a live session. */
export function createConnectedHost(index: number): ConnectedHost {
	return {
		host: toHostId(`engine-${index}`),
		address: `10.0.${index % 256}.${Math.floor(index / 256)}:7000`,
		dataCentre: toDataCentreId(`centre-${index % 30}`),
		incarnation: toIncarnation(`00000000-0000-4000-8000-${index}`),
		leaving: false,
		offers: [
			{
				kind: 'layers',
				model: toModelName(`model-${index % 15}`),
				version: '1',
				fromLayer: (index % 6) * 10,
				toLayer: (index % 6) * 10 + 10,
				acceleratorKind: 'large',
				layerTokensPerSecond: 250_000,
			},
		],
		load: {queued: index, running: index % 64, rate: 1000},
		reportedAt: index,
		roundTripMs: 1,
	};
}

/** Builds the host state of an entry that knows the given number of hosts. */
export function buildHosts(size: number): HostsSnapshot {
	let hosts = createHosts();
	for (let index = 0; index < size; index++) {
		hosts = updateConnectedHost(hosts, createConnectedHost(index));
	}

	return hosts;
}

export const createStages = (count: number): Stage[] =>
	Array.from({length: count}, (_, index) => ({
		host: toHostId(`engine-${index}`),
		incarnation: toIncarnation(`00000000-0000-4000-8000-${index}`),
		address: `10.0.0.${index}:7000`,
		fromLayer: index * 10,
		toLayer: index * 10 + 10,
	}));

const stagesPerRequest = 8;
const tokensPerAnswer = 400;

const runContext = {allowRetry: () => true, recovery: 'replace'} as const;

/** Builds a model run that has delivered all its tokens. */
function buildRun(index: number): ModelRunState {
	const request = toRequestId(`request-${index}`);
	let [state] = decideModelRun(
		createModelRun(60_000),
		{type: 'chosen', stages: createStages(stagesPerRequest)},
		0,
		runContext,
	);
	for (let stage = 0; stage < stagesPerRequest; stage++) {
		[state] = decideModelRun(
			state,
			{
				type: 'stageOpened',
				message: {
					type: 'stageOpened',
					request,
					attempt: state.attempt,
					index: stage,
					next: toPosition(0),
					retains: false,
				},
			},
			0,
			runContext,
		);
	}

	for (let position = 0; position < tokensPerAnswer; position++) {
		[state] = decideModelRun(
			state,
			{
				type: 'token',
				token: {
					type: 'token',
					request,
					attempt: toAttempt(state.attempt),
					position: toPosition(position),
					token: position,
					text: ' word',
				},
			},
			0,
			runContext,
		);
	}

	return state;
}

const buildRuns = (size: number) =>
	Array.from({length: size}, (_, index) => buildRun(index));

/** Builds the ledgers of the given number of limits, all of them in use. */
function buildLedgers(size: number): Map<string, LimitLedger> {
	const ledgers = new Map<string, LimitLedger>();
	for (let index = 0; index < size; index++) {
		let ledger = createLimitLedger();
		for (let charge = 0; charge < 3; charge++) {
			[ledger] = decidePermit(
				ledger,
				{
					holder: `incarnation/${charge}` as never,
					kind: 'requests_per_second',
					amount: 1,
					validityMs: 0,
				},
				5,
				charge * 100,
			);
		}

		ledgers.set(`customer/customer-${index}/requests_per_second`, ledger);
	}

	return ledgers;
}
