/**
 * Inspects an engine by its report: whether it answers, and which engines after it do
 * not. One report covers all paths that begin at the engine.
 */
import {type BackendId, maxLinkDelayMs, type PathStage} from 'bramleystage';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for an engine's report, in milliseconds; a live engine answers within a few milliseconds. */
const reportTimeoutMs = 150;
/** By how much a timer may fire early, in milliseconds. */
const timerPrecisionMs = 1;
/** Rise of the own link's delay during a report that may have made it late, in milliseconds; a sound link varies by less. */
const minDelayRiseMs = 20;

export type EngineInspectionOptions = {
	readonly fleet: Fleet;
	readonly instances: Pick<InstanceWatch, 'readReport'>;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

export type Inspection = {
	/** Engines that do not answer. */
	readonly suspects: readonly BackendId[];
	/** Requests that wait at the engine; undefined if it has not reported. */
	readonly queued?: number;
};

export class EngineInspection {
	/** Reports that were read since the start. */
	count = 0;
	/** Engines whose last report may have been late only because of the own link. */
	readonly #undecided = new Set<BackendId>();

	constructor(private readonly options: EngineInspectionOptions) {}

	/** Reads from an engine's report which engines do not answer; undefined if the own link may have delayed it. */
	async findSuspects(
		engine: Pick<PathStage, 'id' | 'address'>,
	): Promise<Inspection | undefined> {
		const {fleet} = this.options;
		const report = await this.readReport(engine);
		if (!report) {
			return fleet.health.isPaused(engine.id) ? {suspects: []} : undefined;
		}

		if (report.isErr()) {
			const {kind, detail} = report.error;
			const sign = kind === 'malformed' ? 'failed' : 'unreachable';
			fleet.health.recordFailure(engine.id, sign, `No report: ${detail}`);
			return {suspects: [engine.id]};
		}

		const stalled = new Set(report.value.stalled.map((item) => item.address));
		const suspects: BackendId[] = [];
		for (const item of stalled) {
			const backend = fleet.findByAddress(item);
			if (backend) {
				fleet.health.recordFailure(
					backend.id,
					'unreachable',
					'Reported as stalled.',
				);
				suspects.push(backend.id);
			}
		}

		return {suspects, queued: report.value.queued};
	}

	/**
	 * Reads an engine's report. Returns undefined if the engine is paused, or if the delay
	 * of the own link has risen meanwhile, so that the report may still be under way; the
	 * next one then gets the longest time.
	 */
	async readReport(engine: Pick<PathStage, 'id' | 'address'>) {
		const {instances, readClock, readLinkDelayMs} = this.options;
		const startedAt = readClock();
		const delayMs = this.#undecided.delete(engine.id)
			? maxLinkDelayMs
			: readLinkDelayMs();
		const timeoutMs = reportTimeoutMs + delayMs;
		this.count++;
		const report = await instances.readReport(engine, timeoutMs);
		const isLate = readClock() - startedAt >= timeoutMs - timerPrecisionMs;
		const hasRisen = readLinkDelayMs() > delayMs + minDelayRiseMs;
		if (report?.isErr() && isLate && hasRisen) {
			this.#undecided.add(engine.id);
			return undefined;
		}

		return report;
	}
}
