/** The runs of one request so far: which count towards its route's limit, and how many servers ended under it. */
import type {SentRequest} from 'bramleystage';
import type {InstanceWatch} from './instance-watch.js';
import type {AttemptProgress} from './request-ends.js';

/** One run of a request at a backend server. */
export type AttemptRun = {
	readonly sent: SentRequest;
	readonly progress: AttemptProgress;
};

export class RunHistory {
	/** Attempts that may have run, in the order of their ends. */
	#runs: readonly SentRequest[] = [];
	/** Broken runs whose instance was found to have ended. */
	#endedCuts = 0;

	constructor(private readonly instances: Pick<InstanceWatch, 'hasEnded'>) {}

	/** Whether any attempt may have run. */
	get mayHaveRun(): boolean {
		return this.#runs.length > 0;
	}

	/** Whether so many servers ended under the request that it is repeated no more. */
	isEndingServers(computeAllowedEnds: () => number): boolean {
		const ended = this.#runs.filter((run) => this.instances.hasEnded(run));
		const count = Math.max(ended.length, this.#endedCuts);
		return count > 0 && count >= computeAllowedEnds();
	}

	/** Adds an attempt that may have run. */
	add(run: SentRequest): void {
		this.#runs = [...this.#runs, run];
	}

	/** Records that a run's connection broke because its instance ended. */
	recordEndedCut(): void {
		this.#endedCuts++;
	}

	/**
	 * Lists the runs that count towards the route's limit: all but those whose
	 * instance has ended. What shows its end may come later, so the list may shrink.
	 */
	listCounted(inFlight: readonly SentRequest[] = []): readonly SentRequest[] {
		return [...this.#runs, ...inFlight].filter(
			(run) => !this.instances.hasEnded(run),
		);
	}
}
