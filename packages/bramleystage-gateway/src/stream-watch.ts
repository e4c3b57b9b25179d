/**
 * Watches the streams of each path for silence. Engines batch all requests, so
 * when a path dies all its streams stop at once; the reports of its first
 * engine then tell which engine is at fault, some hundred milliseconds late.
 */
import {
	type BackendId,
	type LifeCycle,
	type Logger,
	splitBy,
} from 'bramleystage';
import type {Fleet} from './fleet.js';
import type {EnginePort} from './platform-port.js';
import type {StreamRun} from './stream-run.js';

/** How often the watch looks, in milliseconds. */
const tickMs = 40;
/** Silence after which streams that had events leave a path: under the pause that users accept. */
const silenceMs = 130;
/** Silence after which streams without an event yet leave a path: long prompts take a while. */
const firstSilenceMs = 350;
/** Longest wait for a report; a live engine answers within a few milliseconds. */
const reportMs = 150;
/** Least time between two reports of one engine, in milliseconds. */
const inspectPauseMs = 150;
/** Delay of the watch's own timer that shows that this process was held up, in milliseconds. */
const heldUpMs = 60;

export type StreamWatchOptions = {
	readonly fleet: Fleet;
	readonly engines: EnginePort;
	readonly logger: Logger;
	readonly lifeCycle: LifeCycle;
	readonly readClock: () => number;
};

export class StreamWatch {
	readonly #streams = new Set<StreamRun>();
	readonly #inspectedAt = new Map<BackendId, number>();
	#lastTick: number;
	#blindUntil = 0;

	constructor(private readonly options: StreamWatchOptions) {
		this.#lastTick = options.readClock();
		options.lifeCycle.registerInterval(tickMs, () => {
			this.#check(options.readClock());
		});
	}

	register(stream: StreamRun): () => void {
		this.#streams.add(stream);
		return () => {
			this.#streams.delete(stream);
		};
	}

	#check(now: number): void {
		if (now - this.#lastTick > tickMs + heldUpMs) {
			// What arrived meanwhile has not been read yet.
			this.#blindUntil = now + heldUpMs;
		}

		this.#lastTick = now;
		if (now < this.#blindUntil) {
			return;
		}

		const byFirst = splitBy(
			[...this.#streams].filter(({path}) => path.length > 0),
			({path}) => path[0]?.id,
		);
		for (const [first, streams] of byFirst) {
			if (first !== undefined && isSilent(streams, now)) {
				void this.#handleSilence(first, streams, now);
			}
		}
	}

	async #handleSilence(
		first: BackendId,
		streams: readonly StreamRun[],
		now: number,
	): Promise<void> {
		if (now - (this.#inspectedAt.get(first) ?? 0) < inspectPauseMs) {
			return;
		}

		this.#inspectedAt.set(first, now);
		const address = streams[0]?.path[0]?.address ?? '';
		const suspects = await this.#findSuspects(first, address);
		this.options.logger.warn('path.silent', {
			first,
			streams: streams.length,
			suspects: suspects.join(','),
		});
		for (const stream of streams) {
			const path = stream.path.map(({id}) => id);
			const isAffected = path.some((id) => suspects.includes(id));
			if (path[0] === first && isSilent([stream], now)) {
				stream.moveAway(
					isAffected ? suspects : path,
					`The path was silent for ${Math.round(now - stream.progressAt)} ms.`,
				);
			}
		}
	}

	/** Asks the first engine which engine does not answer. */
	async #findSuspects(first: BackendId, address: string): Promise<BackendId[]> {
		const {engines, fleet} = this.options;
		const report = await engines.readReport(address, reportMs);
		if (report.isErr()) {
			fleet.recordTrouble(first, `No report: ${report.error.detail}`);
			return [first];
		}

		const stalled = new Set(report.value.stalled.map((item) => item.address));
		const suspects: BackendId[] = [];
		for (const item of stalled) {
			const backend = fleet.findByAddress(item);
			if (backend) {
				fleet.recordTrouble(backend.id, 'Named as stalled in a report.');
				suspects.push(backend.id);
			}
		}

		return suspects;
	}
}

/** Whether none of the streams has made progress for too long. */
function isSilent(streams: readonly StreamRun[], now: number): boolean {
	return streams.every(
		({hasEvents, progressAt}) =>
			now - progressAt > (hasEvents ? silenceMs : firstSilenceMs),
	);
}
