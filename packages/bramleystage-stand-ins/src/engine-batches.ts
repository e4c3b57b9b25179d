/**
 * Continuous batching of the engine stand-in. Waiting steps enter the next
 * batch in order of priority; the execution time of a batch depends on the
 * accelerator kind.
 */
import {waitFor} from 'bramleystage';
import {type AcceleratorKind, computeBatchMs} from './accelerator.js';
import type {Step, StepOutput} from './engine-schema.js';

type WaitingStep = {
	readonly step: Step;
	readonly resolve: (output: StepOutput) => void;
};

/** Runs one step; `tokens` is the number of tokens that add to the execution time. */
export type RunStep = (step: Step) => {
	readonly output: StepOutput;
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
			/** Called when the number of waiting or running steps changes. */
			readonly onChange: () => void;
		},
	) {}

	get waiting(): number {
		return this.#waiting.length;
	}

	get running(): number {
		return this.#running;
	}

	/** Queues a step; resolves when a batch has run it or it was cancelled. */
	async add(step: Step): Promise<StepOutput> {
		return new Promise((resolve) => {
			this.#waiting.push({step, resolve});
			this.options.onChange();
			if (this.#running === 0) {
				void this.#runBatches();
			}
		});
	}

	/** Cancels the waiting steps of a sequence; each resolves with an error. */
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
		const outputs = batch.map(({step}) => {
			const {output, tokens} = this.options.runStep(step);
			layerTokens += tokens * (step.toLayer - step.fromLayer);
			return output;
		});
		await waitFor(computeBatchMs(this.options.kind, layerTokens));
		for (const [index, {resolve}] of batch.entries()) {
			resolve(outputs[index]!);
		}
	}
}
