/**
 * Continuous batching of the engine's stand-in: steps that wait go into the
 * next batch by priority, and a batch takes the time of its accelerator kind.
 */
import {waitFor} from 'bramleystage';
import {type AcceleratorKind, computeBatchMs} from './accelerator.js';
import type {Step, StepAnswer} from './engine-schema.js';

type WaitingStep = {
	readonly step: Step;
	readonly resolve: (answer: StepAnswer) => void;
};

/** Runs one step; `tokens` are those that the batch spends time on. */
export type RunStep = (step: Step) => {
	readonly answer: StepAnswer;
	readonly tokens: number;
};

export class BatchRunner {
	#waiting: WaitingStep[] = [];
	#running = 0;

	constructor(
		private readonly options: {
			readonly kind: AcceleratorKind;
			readonly maxBatchSteps: number;
			readonly runStep: RunStep;
			/** Called when the counts of waiting and running steps change. */
			readonly onChange: () => void;
		},
	) {}

	get waiting(): number {
		return this.#waiting.length;
	}

	get running(): number {
		return this.#running;
	}

	/** Runs a step in one of the next batches. */
	async add(step: Step): Promise<StepAnswer> {
		return new Promise((resolve) => {
			this.#waiting.push({step, resolve});
			this.options.onChange();
			if (this.#running === 0) {
				void this.#runBatches();
			}
		});
	}

	/** Answers the waiting steps of a sequence without running them. */
	cancel(sequence: string): void {
		const cancelled = this.#waiting.filter(
			({step}) => step.sequence === sequence,
		);
		this.#waiting = this.#waiting.filter(
			({step}) => step.sequence !== sequence,
		);
		for (const {step, resolve} of cancelled) {
			resolve({sequence, position: step.position, error: 'cancelled'});
		}

		this.options.onChange();
	}

	async #runBatches(): Promise<void> {
		while (this.#waiting.length > 0) {
			this.#waiting.sort((a, b) => b.step.priority - a.step.priority);
			const batch = this.#waiting.splice(0, this.options.maxBatchSteps);
			this.#running = batch.length;
			this.options.onChange();
			// eslint-disable-next-line no-await-in-loop -- one batch at a time
			await this.#runBatch(batch);
		}

		this.#running = 0;
		this.options.onChange();
	}

	async #runBatch(batch: readonly WaitingStep[]): Promise<void> {
		let layerTokens = 0;
		const answers = batch.map(({step}) => {
			const {answer, tokens} = this.options.runStep(step);
			layerTokens += tokens * (step.toLayer - step.fromLayer);
			return answer;
		});
		await waitFor(computeBatchMs(this.options.kind, layerTokens));
		for (const [index, {resolve}] of batch.entries()) {
			resolve(answers[index]!);
		}
	}
}
