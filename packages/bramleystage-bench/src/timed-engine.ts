/**
 * A timed fake of a model engine with continuous batching: a batch costs a
 * fixed time and a time for each layer-token, as the stand-in engine does. It
 * computes nothing.
 */
import {type AcceleratorKind, acceleratorKinds} from 'bramleystage-stand-ins';
import type {VirtualTime} from './virtual-time.js';

export type TimedStep = {
	readonly layerTokens: number;
	readonly finish: () => void;
};

const maxBatchSteps = 64;
const usPerMs = 1000;

export class TimedEngine {
	/** Factor of all service times; above 1 the engine is slow. */
	slowness = 1;
	busyMs = 0;
	readonly #waiting: TimedStep[] = [];
	#isRunning = false;

	constructor(
		readonly kind: AcceleratorKind,
		private readonly time: VirtualTime,
	) {}

	/** Layer-tokens a second that the engine claims. */
	get layerTokensPerSecond(): number {
		return 1_000_000 / acceleratorKinds[this.kind].perLayerTokenUs;
	}

	run(step: TimedStep): void {
		this.#waiting.push(step);
		if (!this.#isRunning) {
			this.#isRunning = true;
			// Steps that are given at the same time share a batch.
			this.time.schedule(0, () => {
				this.#runBatch();
			});
		}
	}

	#runBatch(): void {
		const batch = this.#waiting.splice(0, maxBatchSteps);
		if (batch.length === 0) {
			this.#isRunning = false;
			return;
		}

		const {perBatchUs, perLayerTokenUs} = acceleratorKinds[this.kind];
		const total = batch.reduce((sum, {layerTokens}) => sum + layerTokens, 0);
		const batchMs =
			((perBatchUs + total * perLayerTokenUs) * this.slowness) / usPerMs;
		this.busyMs += batchMs;
		this.time.schedule(batchMs, () => {
			for (const {finish} of batch) {
				finish();
			}

			this.time.schedule(0, () => {
				this.#runBatch();
			});
		});
	}
}
